#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/_kit2

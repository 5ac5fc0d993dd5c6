#!/bin/sh
# Builds the stand-ins of the cases into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-kit ./review/_kit

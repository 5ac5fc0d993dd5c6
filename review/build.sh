#!/bin/sh
# Builds the stand-ins of the cases into target/, and for case 5 the programs of an earlier commit of
# this repository. Without the history that case can't run; the others can.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-kit ./review/_kit
old=b01212e
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
if git archive "$old" | tar -x -C "$folder" && [ -d "$folder/cmd" ]; then
	here=$PWD
	cd "$folder"
	go build -ldflags=-linkmode=external -o "$here/target/review-old/" ./cmd/tanagerbarrow
else
	echo "commit $old is not in the history: case 5 can't run"
fi

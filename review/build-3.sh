#!/bin/sh
# Builds what the scripts of the cases start besides the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
GOWORK="$PWD/review/go-3.work" go build -o target/ ./review/stand-3

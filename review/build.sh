#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/stand. Needs Go and nothing else.
cd "$(dirname "$0")/.." || exit 1
GOWORK=$PWD/review/go.work exec go build -o target/ ./review/stand

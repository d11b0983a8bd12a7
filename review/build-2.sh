#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The platform program comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
GOWORK="$PWD/review/go-2.work" go build -o target/ ./review/stand-2

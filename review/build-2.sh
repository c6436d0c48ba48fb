#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs the modules of go.mod, and no network once they are there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/testdata/standin2

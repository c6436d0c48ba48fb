#!/bin/sh
# Builds the stand-ins that the cases start, from the root of the repository, beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/testdata/standin

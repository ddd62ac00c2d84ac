#!/bin/sh
# Builds the stand-ins of the second review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/_standin-2"
GOFLAGS=-buildvcs=false go build -o ../../target/review-2/standin .

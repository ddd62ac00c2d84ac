#!/usr/bin/env bash
# Builds the stand-ins of the cases: store, instances and clients. The host itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/_standin"
GOFLAGS=-buildvcs=false go build -o ../bin/standin .

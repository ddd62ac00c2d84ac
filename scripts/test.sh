#!/usr/bin/env bash
# Formats, lints, builds and tests the whole repository. Fails on the first step that fails.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { printf '== %s\n' "$*"; }

step gofmt
unformatted=$(gofmt -s -l . | grep -v '^internal/api/gen/' || true)
if [ -n "$unformatted" ]; then
  printf 'Not formatted:\n%s\n' "$unformatted"
  exit 1
fi

packages=$(go list ./... | grep -v '/internal/api/')

step go vet
go vet ./...

step staticcheck
# shellcheck disable=SC2086 # The list is split on purpose.
go tool staticcheck $packages

step revive
go tool revive -config revive.toml -set_exit_status -exclude ./internal/api/... ./...

step generated code
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
cp -r internal/api/gen "$out/before"
go generate ./internal/api/design >"$out/goa.log"
if ! diff -r "$out/before" internal/api/gen >"$out/diff"; then
  printf 'Generated code was out of date:\n'
  head -n 20 "$out/diff"
  exit 1
fi

step build
go build ./...

step examples
if [ -d examples ]; then
  for dir in examples/*/; do
    go run ./cmd/monsoonhub check "$dir"
  done
fi

step tests
# Tests of faults that are known and open are listed in KNOWN-RED.txt. They are printed and passed over.
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
if [ -n "$red" ]; then
  printf 'Passed over, see KNOWN-RED.txt:\n'
  sed 's/^/  /' KNOWN-RED.txt
fi
# Five packages at a time: tests over real sockets have bounds in milliseconds, and some others use all cores.
go test -race -p 5 -timeout 20m ${red:+-skip "^($red)\$"} ./...

#!/usr/bin/env bash
# Runs every test of the workspace. Extra words go to `go test`, as -race.
set -euo pipefail
cd "$(dirname "$0")"
go test "$@" ./...
(cd faults && go test "$@" ./...)

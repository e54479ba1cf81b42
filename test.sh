#!/usr/bin/env bash
# Runs every test of the workspace. Extra words go to `go test`, as -race.
set -euo pipefail
cd "$(dirname "$0")"
# Tests with real processes build the programs themselves, of which the test cache
# knows nothing: a cached result may be that of an older program.
go test -count=1 "$@" ./...
(cd faults && go test -count=1 "$@" ./...)
(cd platform/soak && go test -count=1 "$@" ./...)

#!/usr/bin/env bash
# Runs every test of the workspace. Extra words go to `go test`, as -race.
set -euo pipefail
cd "$(dirname "$0")"
# Tests with real processes build the programs themselves, of which the test cache
# knows nothing: a cached result may be that of an older program.
go test -count=1 "$@" ./...
# The crowds press on memory and descriptors, so they run apart from other load.
(cd platform/crowd && go test -count=1 "$@" ./...)
# The two modules with real processes mostly wait, so they run side by side.
(cd faults && go test -count=1 "$@" ./...) &
faults=$!
soak_failed=0
(cd platform/soak && go test -count=1 "$@" ./...) || soak_failed=1
wait "$faults"
exit "$soak_failed"

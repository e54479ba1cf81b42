#!/usr/bin/env bash
# Runs each fuzz target for a while: ./fuzz.sh [TIME], as 3s or 5m. Whatever a target
# finds, Go writes to its package's testdata/fuzz, where it stays as a test.
set -euo pipefail
cd "$(dirname "$0")"
time=${1:-1m}
output=$(mktemp)
trap 'rm -f "$output"' EXIT
for package in ./platform ./mesh ./gateway ./statesync ./header ./relay; do
  for target in $(go test "$package" -list '^Fuzz' | grep '^Fuzz'); do
    printf '%s %s: ' "$package" "$target"
    if ! go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "$time" > "$output" 2>&1; then
      echo "FAIL"
      cat "$output"
      exit 1
    fi
    tail -1 "$output"
  done
done

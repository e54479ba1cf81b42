#!/usr/bin/env bash
# Runs each fuzz target: ./fuzz.sh for a fixed number of executions, ./fuzz.sh TIME for a while, as 5m.
# Whatever a target finds, Go writes to its package's testdata/fuzz, where it stays as a test.
set -euo pipefail
cd "$(dirname "$0")"
time=${1:-}
# Executions that take a few seconds. A number ends without a deadline, which go test may report as a failure.
declare -A executions=(
  [FuzzEntry]=85000 [FuzzDocument]=8000 [FuzzParseRecords]=85000 [FuzzNewest]=30000
  [FuzzDecode]=42000 [FuzzPeerPacket]=42000 [FuzzWhole]=25000 [FuzzDocumentTransfer]=30000
  [FuzzParseRetryAfter]=120000 [FuzzMessages]=140000
  [FuzzRows]=2500 [FuzzResponse]=40000
)
output=$(mktemp)
trap 'rm -f "$output"' EXIT
for package in ./platform ./mesh ./gateway ./statesync ./header ./relay ./pipeline ./exchange; do
  for target in $(go test "$package" -list '^Fuzz' | grep '^Fuzz'); do
    printf '%s %s: ' "$package" "$target"
    if ! go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "${time:-${executions[$target]}x}" > "$output" 2>&1; then
      echo "FAIL"
      cat "$output"
      exit 1
    fi
    tail -1 "$output"
  done
done

#!/usr/bin/env bash
# Builds the drivers of the scripted cases, with the stand-ins of the store and of the targets, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
for driver in review/*/driver; do
  n=$(basename "$(dirname "$driver")")
  go build -o "target/review-$n" "./$driver"
done

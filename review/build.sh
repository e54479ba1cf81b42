#!/usr/bin/env bash
# Builds the stand-ins of the cases. The gateway is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for dir in review/*/standin; do
  [ -d "$dir" ] || continue
  go build -o "target/review/$(basename "$(dirname "$dir")")" "./$dir"
done

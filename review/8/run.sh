#!/usr/bin/env bash
# Runs the case; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/clementinereel ] && [ -x target/review-8 ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
set -m # the driver and the gateways that it starts are a process group of their own
target/review-8 &
driver=$!
trap 'kill -TERM "$driver" 2>/dev/null' INT TERM
wait "$driver"
result=$?
while kill -0 "$driver" 2>/dev/null; do
  wait "$driver"
  result=$?
done
kill -KILL -- "-$driver" 2>/dev/null # what is left if the driver was killed or failed
rm -rf "$TMPDIR"
[ "$result" -le 2 ] || result=2
exit "$result"

#!/usr/bin/env bash
# Plays the scenario silent-connections with real node processes; see claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
world=$root/target/review/bin/review-world
node=$root/target/bin/mastichold-node
[ -x "$world" ] && [ -x "$node" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# The nodes are children of the stand-in and end with it.
timeout --kill-after=2 115 "$world" silent-connections "$node" "$folder" \
  "$here/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

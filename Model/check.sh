#!/usr/bin/env bash
# Checks Group.pml with spin: the unmodified model must have no counterexample
# within the search limits, and each faulty variant must have one.
set -euo pipefail
cd "$(dirname "$0")/.."
work=Build/model
mkdir -p "$work"
# Limits of the bitstate search: a hash array of 2^27 bits, a depth in steps.
bits=27
depth=${MASTICHOLD_MODEL_DEPTH:-400}
# The time limit of one search, in minutes.
minutes=${MASTICHOLD_MODEL_MINUTES:-1}
passed=0
failed=0

# search NAME SEED [MACRO...]: prints 0 if no error was found, 1 for a violated
# assertion, and "stuck" for another error.
search() {
  local name=$1 seed=$2
  shift 2
  mkdir -p "$work/$name"
  (
    cd "$work/$name"
    spin "$@" -a ../../../Model/Group.pml > spin.log
    # A random order with a fixed seed finds deep counterexamples sooner than
    # the default order.
    gcc -O2 -w -DBITSTATE -DSAFETY -DNOCLAIM -DMEMLIM=2000 -DT_RAND -DP_RAND \
      -o pan pan.c
    ./pan -w$bits -m"$depth" -Q"$minutes" -RS"$seed" -n > pan.log 2>&1 || true
    # Only a violated assertion is a counterexample. An exceeded search limit or
    # an invalid end state is not.
    if grep -q 'assertion violated' pan.log; then echo 1; else
      sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log | sed 's/[1-9][0-9]*/stuck/'
    fi
  )
}

# expect NAME none|some SEED [MACRO...]: compares the result of a search with
# the expected one. The seed sets the search order.
expect() {
  local name=$1 wanted=$2 seed=$3 errors
  shift 3
  errors=$(search "$name" "$seed" "$@")
  local states
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$name/pan.log")
  if { [ "$wanted" = none ] && [ "$errors" = 0 ]; } ||
    { [ "$wanted" = some ] && [ "$errors" = 1 ]; }; then
    echo "model $name: as expected ($wanted), ${states:-?} states"
  else
    echo "model $name: WRONG, wanted $wanted, errors: ${errors:-no result}"
    return 1
  fi
}

declare -a jobs=(
  "true none 2"
  "true-with-file-loss none 2 -DWITH_FILE_LOSS"
  "confirm-without-term some 2 -DCONFIRM_WITHOUT_TERM -DNO_SETTLER -DTRIES=1"
  "minority some 2 -DMINORITY"
  "unconfirmed-tombstone some 1 -DUNCONFIRMED_TOMBSTONE -DNO_OTHER_CALLER -DTRIES=1"
  "unconfirmed-write some 2 -DUNCONFIRMED_WRITE"
  "choose-by-position some 2 -DCHOOSE_BY_POSITION -DNO_SETTLER -DTRIES=1"
  "log-term-early some 2 -DLOG_TERM_EARLY -DNO_HOMES"
  "forgets-its-loss some 2 -DWITH_FILE_LOSS -DFORGETS_ITS_LOSS -DNO_HOMES"
  "no-identities some 2 -DWITH_FILE_LOSS -DNO_IDENTITIES -DNO_HOMES"
  "small-true none 2 -DWITH_FILE_LOSS -DNO_HOMES"
  "expires-early some 2 -DEXPIRES_EARLY"
)
declare -a pids=()
for job in "${jobs[@]}"; do
  # shellcheck disable=SC2086
  expect $job &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  if wait "$pid"; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "model: $passed passed, $failed failed"
[ "$failed" -eq 0 ]

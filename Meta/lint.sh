#!/usr/bin/env bash
# Checks the format and the lint rules of every source file.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
clang-format --dry-run -Werror "${sources[@]}"
cmake --preset release > /dev/null
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
# Checks the largest files first, so that no processor is still busy with one
# when the others have finished.
wc -c "${units[@]}" | grep -v ' total$' | sort -rn | awk '{ print $2 }' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p Build/release 2> /dev/null

#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review -j6 --target review-world

#!/bin/sh
# Builds the stand-ins of review/6 and up into target/review-2, from the
# libraries that the build line of deploy/system.toml has left in target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
includes="-Iplatform -Ireview/standins-2"
for folder in Libraries/*/include; do
  includes="$includes -I$folder"
done
rm -f target/review-2/*.o target/review-2/world
objects=""
for source in review/standins-2/*.cpp; do
  object="target/review-2/$(basename "$source" .cpp).o"
  # shellcheck disable=SC2086
  c++ -std=c++20 -DBOOST_LOG_DYN_LINK -O1 -g $includes -c "$source" -o "$object" &
  objects="$objects $object"
done
wait
# shellcheck disable=SC2086
c++ -o target/review-2/world $objects \
  target/platform/libPlatformAdapter.a \
  target/Libraries/LibSession/libLibSession.a \
  target/Libraries/LibWire/libLibWire.a \
  target/Libraries/LibCore/libLibCore.a \
  -levent -lboost_json -lboost_container -lboost_log -lboost_thread -lpthread

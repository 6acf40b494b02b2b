#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the router,
# into target/review-3/. Needs g++ and the Boost headers, which the build of
# deploy/system.toml needs too.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out/objects"
flags="-std=c++20 -O1 -g -Wall -Wextra -I."
shared="review/standin-3/fleet standin/caller_standin standin/child_process standin/raw_socket
  standin/store_standin standin/upstream_standin"
compile() {
  g++ $flags -c "$1.cc" -o "$out/objects/$(basename "$1").o"
}
for file in $shared $(ls review/standin-3/*.cc | grep -v /fleet.cc); do
  compile "${file%.cc}" &
done
status=0
for job in $(jobs -p); do
  wait "$job" || status=1
done
[ "$status" -eq 0 ]
objects=""
for file in $shared; do
  objects="$objects $out/objects/$(basename "$file").o"
done
for file in review/standin-3/*.cc; do
  name=$(basename "$file" .cc)
  [ "$name" != fleet ] || continue
  g++ "$out/objects/$name.o" $objects -lpthread -o "$out/$name"
done

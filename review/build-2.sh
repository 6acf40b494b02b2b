#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the stand-ins that they start,
# into build-review-2/. Needs g++ and libboost-dev, as the router does.
set -eu
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -I. -c "$1" -o "$out/$(basename "$1" .cc).o"
}
for source in standin/caller_standin standin/child_process standin/raw_socket \
  standin/store_standin standin/upstream_standin review/standin-2/fleet \
  $(cd review/standin-2 && ls *.cc | grep -v '^fleet' | sed 's|\(.*\)\.cc|review/standin-2/\1|'); do
  compile "$source.cc" &
  jobs="${jobs:-} $!"
done
for job in $jobs; do
  wait "$job"
done
common="$out/caller_standin.o $out/child_process.o $out/raw_socket.o
  $out/store_standin.o $out/upstream_standin.o $out/fleet.o"
for source in review/standin-2/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = fleet ] || g++ $common "$out/$name.o" -o "$out/$name" -pthread
done

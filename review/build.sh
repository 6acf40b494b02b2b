#!/usr/bin/env bash
# Builds the programs of the review's scripts into review/bin. They use only the
# standard library and the system's sockets.
set -eu
cd "$(dirname "$0")"
rm -rf bin
mkdir bin
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
for source in standin/net.cc standin/fleet.cc; do
  g++ "${flags[@]}" -c "$source" -o "bin/$(basename "$source" .cc).o" &
done
wait
for folder in [1-5]; do
  [ -e "$folder/case.cc" ] || continue
  g++ "${flags[@]}" "$folder/case.cc" bin/net.o bin/fleet.o -o "bin/case-$folder" &
done
wait
for folder in [1-5]; do
  [ ! -e "$folder/case.cc" ] || test -x "bin/case-$folder"
done

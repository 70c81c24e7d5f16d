#!/bin/sh
# Builds the drivers and stand-ins of the second review's cases into build/review-2, after the build of the deploy
# file. Needs g++ alone.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/build/review-2"
for source in "$root"/review/*/driver-2.cpp; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I "$root/review/support-2" -o "$root/build/review-2/case-$name" "$source"
done

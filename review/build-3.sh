#!/usr/bin/env bash
# Builds the stand-ins and scripts of review/11 and following into target/review-3/. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -pthread -Ireview/harness-3)
g++ "${flags[@]}" -c review/harness-3/harness.cc -o target/review-3/harness.o
for source in review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review-3/harness.o -o "target/review-3/case-$name"
done

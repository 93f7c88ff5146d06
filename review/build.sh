#!/usr/bin/env bash
# Builds the programs of the cases into review/bin. They need what the build of the deploy file needs, and the
# sidecar that it makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
jobs=()
for source in review/[1-9]/case.cc; do
  number=$(basename "$(dirname "$source")")
  c++ -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "review/bin/case-$number" &
  jobs+=("$!")
done
for job in "${jobs[@]}"; do
  wait "$job"
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case-2.cc; do
  name=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall -Wextra -I review/harness-2 -o "target/review-2/case-$name" "$source"
done

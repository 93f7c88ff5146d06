#!/usr/bin/env bash
# Installs the packages, builds, checks formatting and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
scripts/build.sh
scripts/lint.sh
ctest --test-dir "$build_dir" --output-on-failure --parallel "${TEST_JOBS:-4}"
scripts/sanitize.sh address

# The example embeds the installed library in a program of its own.
build_dir=$(realpath "$build_dir")
cmake --install "$build_dir" --prefix "$build_dir/embed-prefix" >/dev/null
cmake -S examples/embed -B "$build_dir/embed" -DCMAKE_PREFIX_PATH="$build_dir/embed-prefix" >/dev/null
cmake --build "$build_dir/embed"
"$build_dir/embed/embed_example"

# What is known to fail is not run above; it stays in sight here.
cat KNOWN-RED.txt

#!/usr/bin/env bash
# Installs the packages, builds, checks formatting and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
scripts/build.sh
scripts/lint.sh
ctest --test-dir "$build_dir" --output-on-failure --parallel "${TEST_JOBS:-4}"

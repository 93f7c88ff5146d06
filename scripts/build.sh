#!/usr/bin/env bash
# Installs the packages and builds everything into build/ (or the directory in BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
scripts/install-packages.sh
cmake -S . -B "$build_dir" >/dev/null
cmake --build "$build_dir" --parallel "${BUILD_JOBS:-$(nproc)}"

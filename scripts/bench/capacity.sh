#!/usr/bin/env bash
# Measures the figures of docs/CAPACITY.md in about two minutes; writes bench-out/capacity.json (or into the directory
# in BENCH_OUT). Usage: scripts/bench.sh capacity [option of the bench...]
# With SKIP_BUILD=1 nothing is built; BENCH_BUILD_DIR names the build tree of the bench when it is not BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir=${BUILD_DIR:-build}
bench_build_dir=${BENCH_BUILD_DIR:-$build_dir}
out_dir=${BENCH_OUT:-bench-out}
[ "${SKIP_BUILD:-0}" = 1 ] || scripts/build.sh >/dev/null
mkdir -p "$out_dir/capacity"
echo "machine: $(nproc) processors, $(awk '/^MemTotal/ { printf "%.0f GB", $2 / 1048576 }' /proc/meminfo), $(uname -sr)"
exec "$bench_build_dir/packages/bench/capacity/capacity_bench" --build-dir "$build_dir" \
  --work-dir "$out_dir/capacity" --json "$out_dir/capacity.json" "$@"

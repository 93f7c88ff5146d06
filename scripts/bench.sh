#!/usr/bin/env bash
# Builds and runs a bench; results go to bench-out/ (or the directory in BENCH_OUT).
# Usage: scripts/bench.sh policy|capacity [option of the bench...]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
out_dir=${BENCH_OUT:-bench-out}
name=${1:-}
[ "$#" -eq 0 ] || shift
case "$name" in
policy)
  scripts/build.sh >/dev/null
  mkdir -p "$out_dir"
  exec "$build_dir/packages/bench/policy/policy_bench" --json "$out_dir/policy.json" "$@"
  ;;
capacity)
  exec scripts/bench/capacity.sh "$@"
  ;;
*)
  echo "usage: scripts/bench.sh policy|capacity [option of the bench...]" >&2
  exit 2
  ;;
esac

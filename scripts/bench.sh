#!/usr/bin/env bash
# Builds and runs a bench; results go to bench-out/ (or the directory in BENCH_OUT).
# Usage: scripts/bench.sh policy|fleet|once|capacity [option of the bench...]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
out_dir=${BENCH_OUT:-bench-out}
name=${1:-}
[ "$#" -eq 0 ] || shift
case "$name" in
policy | fleet | once | capacity)
  [ "${SKIP_BUILD:-0}" = 1 ] || scripts/build.sh >/dev/null
  mkdir -p "$out_dir"
  ;;
*)
  echo "usage: scripts/bench.sh policy|fleet|once|capacity [option of the bench...]" >&2
  exit 2
  ;;
esac
case "$name" in
policy)
  exec "$build_dir/packages/bench/policy/policy_bench" --json "$out_dir/policy.json" "$@"
  ;;
fleet)
  exec "$build_dir/packages/bench/fleet/quota_bench" --json "$out_dir/fleet.json" "$@"
  ;;
*)
  exec "scripts/bench/$name.sh" "$@"
  ;;
esac

#!/usr/bin/env bash
# Fault soak of the sidecar: real processes on loopback, faults injected from outside, promises checked.
#
#   scripts/soak.sh                     fresh seeds for 5 minutes
#   scripts/soak.sh regressions         the seeds that once broke a promise
#   scripts/soak.sh --seeds 50          further options of laburnumreach-soak; --help lists them
#
# Settings and logs of seeds that break a promise stay in soak-out/. Soaks beside each other need a --run each.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" >/dev/null
cmake --build "$build_dir" --parallel "${BUILD_JOBS:-$(nproc)}" --target laburnumreach-soak laburnumreach-sidecar
soak=("$build_dir/platform/soak/laburnumreach-soak" --program "$build_dir/platform/laburnumreach-sidecar")
case "${1:-}" in
"")
  exec "${soak[@]}" --minutes 5
  ;;
regressions)
  mapfile -t seeds < <(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' platform/soak/failed_seeds.txt)
  exec "${soak[@]}" --seed "${seeds[@]}"
  ;;
*)
  exec "${soak[@]}" "$@"
  ;;
esac

#!/usr/bin/env bash
# Starts a fleet of three zones with the services of both deployments on loopback, sends normal traffic, a
# threefold surge with one tenant far above its rate, and normal traffic again, and prints what callers got.
# Fails when a request ran twice, a verdict was wrong, a key reached an upstream or a daemon ended.
# Usage: scripts/demo.sh
# Environment: BUILD_DIR, BASE_PORT, WORKERS, KEEP_RUN_DIR (see scripts/lib/fleet.sh), SKIP_BUILD=1.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/lib/fleet.sh
. scripts/lib/fleet.sh

if [ "${SKIP_BUILD:-0}" != 1 ]; then
  echo "building into $BUILD_DIR"
  scripts/build.sh >/dev/null
fi
fleet_begin
echo "starting ${#fleet_vms[@]} daemons and upstreams in ${#fleet_zones[@]} zones"
fleet_start
report=$fleet_dir/report.json
calls_before=$(platform_calls)
time_before=$SECONDS
load_start "$fleet_files/surge.toml" "$report"
echo "sending 12 s of normal traffic, 8 s of a threefold surge, 10 s of normal traffic"
while process_runs loadgen; do
  sleep 0.2
done
calls_after=$(platform_calls)
load_seconds=$((SECONDS - time_before))
process_wait loadgen || fail "the load tool failed: $(tail -n 3 "$fleet_dir/loadgen.log")"

echo
load_table "$report" all phase priority tenant duplicates
echo
load_counts "$report"
jq -r '.judgement.examples[]' "$report"
jq -nr --argjson before "$calls_before" --argjson after "$calls_after" --argjson seconds "$load_seconds" '
  ($after | with_entries(.value -= ($before[.key] // 0))) as $calls
  | "platform calls per second: \([$calls[]] | add / $seconds * 10 | round / 10) (\(
    $calls | to_entries | map("\(.key) \(.value / $seconds * 10 | round / 10)") | join(", ")))"'

failed=0
load_is_clean "$report" || failed=1
mapfile -t dead < <(fleet_dead_daemons)
if [ "${#dead[@]}" -gt 0 ]; then
  echo "daemons that ended: ${dead[*]}"
  failed=1
fi
exit "$failed"

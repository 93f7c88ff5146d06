# shellcheck shell=bash
# Starts, observes and ends a fleet of daemons and stand-ins on loopback, with the files of deploy/demo.
# A script sources this file from the root of the project and calls fleet_begin first.
#
# Settings from the environment: BUILD_DIR (build), BASE_PORT (17000; 1000 ports from there are used),
# WORKERS (48; threads of each of the three pools of a daemon), ZONES ("a b c"), SERVICES (all of
# deploy/demo/services.conf), KEEP_RUN_DIR (1 keeps settings and logs of the run).

BUILD_DIR=${BUILD_DIR:-build}
BASE_PORT=${BASE_PORT:-17000}
WORKERS=${WORKERS:-48}
read -r -a fleet_zones <<<"${ZONES:-a b c}"
fleet_files=deploy/demo
daemon_program=$BUILD_DIR/packages/daemon/laburnumreachd
ctl_program=$BUILD_DIR/packages/ctl/laburnumctl
standin_dir=$BUILD_DIR/packages/standin
# Each VM of the fleet has ten ports: callers, peers, control, local, admin, upstream, control of the upstream.
ports_per_vm=10
platform_port=$((BASE_PORT + 990))
platform_control=$((BASE_PORT + 991))
stop_deadline_s=15

fleet_vms=()              # names of VMs, "<service>-<zone>", in the order of their ports
declare -A fleet_index=() # VM name: position in fleet_vms
declare -A fleet_pids=()  # process name: id of a process that this script started and has not ended
fleet_dir=

fail() {
  echo "$*" >&2
  exit 1
}

# Makes the directory of the run and ends all processes of the fleet when the script ends.
fleet_begin() {
  fleet_dir=$(mktemp -d "${TMPDIR:-/tmp}/laburnumreach.XXXXXX")
  trap fleet_end EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  (umask 077 && od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$fleet_dir/secret")
  local service zone
  for zone in "${fleet_zones[@]}"; do
    while IFS='|' read -r service _; do
      [[ " ${SERVICES:-$service} " == *" $service "* ]] || continue
      fleet_index[$service-$zone]=${#fleet_vms[@]}
      fleet_vms+=("$service-$zone")
    done < <(grep -v '^#' "$fleet_files/services.conf")
  done
}

# Ends all processes that this script started.
fleet_stop() {
  local name
  for name in "${!fleet_pids[@]}"; do
    kill -TERM "${fleet_pids[$name]}" 2>/dev/null || true
  done
  for name in "${!fleet_pids[@]}"; do
    process_wait "$name" >/dev/null || true
  done
}

fleet_end() {
  local code=$?
  trap - EXIT
  trap '' INT TERM
  fleet_stop
  if [ "${KEEP_RUN_DIR:-0}" = 1 ] || [ "$code" -ne 0 ]; then
    echo "settings and logs of the run: $fleet_dir" >&2
  else
    rm -rf "$fleet_dir"
  fi
  exit "$code"
}

# process_start <name> <program> [argument...]: the output is appended to <name>.log.
# Each process has its own session, so that Ctrl-C reaches only the script, which then ends them in order.
process_start() {
  local name=$1
  shift
  : >>"$fleet_dir/$name.log"
  setsid "$@" >>"$fleet_dir/$name.log" 2>&1 </dev/null &
  fleet_pids[$name]=$!
}

process_runs() {
  [ -n "${fleet_pids[$1]:-}" ] && kill -0 "${fleet_pids[$1]}" 2>/dev/null
}

# process_wait <name>: waits for the end of a process, kills it after the deadline, returns its exit status.
process_wait() {
  local name=$1 pid=${fleet_pids[$1]:-} until=$((SECONDS + stop_deadline_s)) status=0 killed=0
  [ -n "$pid" ] || return 0
  {
    while kill -0 "$pid"; do
      if [ "$SECONDS" -ge "$until" ]; then
        kill -KILL "$pid" || true
        killed=1
        break
      fi
      sleep 0.05
    done
    wait "$pid" || status=$?
  } 2>/dev/null # The shell reports each process that a signal ended.
  [ "$killed" -eq 0 ] || echo "$name did not end within $stop_deadline_s s and was killed" >&2
  unset "fleet_pids[$name]"
  return "$status"
}

# process_stop <name> <signal>: returns the exit status of the process.
process_stop() {
  kill "-$2" "${fleet_pids[$1]}"
  process_wait "$1"
}

# wait_until <seconds> <what> <command...>: repeats the command until it succeeds; ends the script otherwise.
wait_until() {
  local until=$((SECONDS + $1)) what=$2
  shift 2
  while ! "$@"; do
    [ "$SECONDS" -lt "$until" ] || fail "$what: not within the time allowed"
    sleep 0.1
  done
}

# vm_port <vm> <callers|peers|control|local|admin|upstream|upstream_control>
vm_port() {
  local offset
  case "$2" in
  callers) offset=0 ;;
  peers) offset=1 ;;
  control) offset=2 ;;
  local) offset=3 ;;
  admin) offset=4 ;;
  upstream) offset=5 ;;
  upstream_control) offset=6 ;;
  *) fail "no port is named $2" ;;
  esac
  echo $((BASE_PORT + ports_per_vm * fleet_index[$1] + offset))
}

get() {
  curl -sf --max-time 2 "$1"
}

# post <url> <JSON>
post() {
  curl -sf --max-time 5 -X POST -H 'Content-Type: application/json' -d "$2" "$1" >/dev/null
}

platform_start() {
  rm -f "$fleet_dir/platform.log"
  process_start platform "$standin_dir/platform_standin" --port "$platform_port" --control-port "$platform_control"
  wait_until 10 "the platform stand-in listens" is_ready platform
}

platform_faults() {
  post "http://127.0.0.1:$platform_control/control/faults" "$1"
}

# Prints the number of calls by kind as a JSON object.
platform_calls() {
  get "http://127.0.0.1:$platform_control/control/stats" | jq -c '.kinds | map_values(.calls)'
}

is_ready() {
  process_runs "$1" || fail "$1 ended: $(tail -n 3 "$fleet_dir/$1.log")"
  grep -q '^ready' "$fleet_dir/$1.log"
}

ctl() {
  "$ctl_program" --platform "127.0.0.1:$platform_port" "$@"
}

# daemon_start <vm>: the first VM of each zone is the seed of all others.
daemon_start() {
  local vm=$1 zone=${1##*-} seeds='' other settings=$fleet_dir/$1.toml
  if [ ! -f "$settings" ]; then
    for other in "${fleet_vms[@]}"; do
      if [ "${other%-*}" = "${fleet_vms[0]%-*}" ] && [ "$other" != "$vm" ]; then
        seeds+="${seeds:+, }\"127.0.0.1:$(vm_port "$other" control)\""
      fi
    done
    sed -e "s/@ID@/vm-$vm/; s/@ZONE@/$zone/; s/@PLATFORM@/$platform_port/; s/@WORKERS@/$WORKERS/" \
      -e "s/@CALLERS@/$(vm_port "$vm" callers)/; s/@PEERS@/$(vm_port "$vm" peers)/" \
      -e "s/@CONTROL@/$(vm_port "$vm" control)/; s/@LOCAL@/$(vm_port "$vm" local)/" \
      -e "s/@ADMIN@/$(vm_port "$vm" admin)/; s/@SEEDS@/$seeds/" "$fleet_files/daemon.toml.in" >"$settings"
  fi
  process_start "daemon-$vm" "$daemon_program" --settings "$settings"
}

upstream_start() {
  local vm=$1 service slots times calls option
  IFS='|' read -r service slots times calls < <(grep "^${vm%-*}|" "$fleet_files/services.conf")
  local options=(--service "$service" --instance "$vm" --zone "${vm##*-}" --slots "$slots"
    --port "$(vm_port "$vm" upstream)" --control-port "$(vm_port "$vm" upstream_control)"
    --daemon "127.0.0.1:$(vm_port "$vm" local)" --most-connections 100)
  for option in $times; do
    options+=(--service-time "$option")
  done
  for option in $calls; do
    options+=(--calls "$option")
  done
  process_start "upstream-$vm" "$standin_dir/upstream_standin" "${options[@]}"
}

daemon_is_healthy() {
  process_runs "daemon-$1" || fail "the daemon of $1 ended: $(tail -n 3 "$fleet_dir/daemon-$1.log")"
  get "http://127.0.0.1:$(vm_port "$1" admin)/healthz" >/dev/null
}

# Succeeds when the daemon sees work accepted by the given number of instances.
daemon_sees_instances() {
  local seen
  seen=$(get "http://127.0.0.1:$(vm_port "$1" admin)/status" |
    jq '[.members[] | select(.accepts_work and .instance != "")] | length') || return 1
  [ "${seen:-0}" -ge "$2" ]
}

# Starts the platform, puts deploy/demo/fleet.toml in force and starts all VMs.
fleet_start() {
  local vm
  platform_start
  ctl apply "$fleet_files/fleet.toml" | tail -n 1
  for vm in "${fleet_vms[@]}"; do
    daemon_start "$vm"
  done
  for vm in "${fleet_vms[@]}"; do
    wait_until 20 "the daemon of $vm is healthy" daemon_is_healthy "$vm"
    upstream_start "$vm"
  done
  for vm in "${fleet_vms[@]}"; do
    wait_until 30 "the daemon of $vm sees all instances" daemon_sees_instances "$vm" "${#fleet_vms[@]}"
  done
}

# Names of daemons that have ended although nothing ended them.
fleet_dead_daemons() {
  local vm
  for vm in "${fleet_vms[@]}"; do
    process_runs "daemon-$vm" || echo "$vm"
  done
}

# load_start <scenario> <report>: starts the load tool as process "loadgen" with all daemons and upstreams.
load_start() {
  local options=(--scenario "$1" --report "$2") vm
  for vm in "${fleet_vms[@]}"; do
    options+=(--daemon "127.0.0.1:$(vm_port "$vm" callers)"
      --upstream "127.0.0.1:$(vm_port "$vm" upstream_control)")
  done
  process_start loadgen "$standin_dir/loadgen" "${options[@]}"
}

# load_table <report> <group>...: a row for each name of the groups (tenant, priority, phase, ...).
# The reason "none" is the error answer of an upstream itself, for example after a failed dependency.
load_table() {
  local report=$1
  shift
  printf '%-10s %-15s %8s %8s %9s %9s  %s\n' by name sent whole 'p50 ms' 'p99 ms' 'refused and other endings'
  jq -r --args '
    ($ARGS.positional) as $by
    | .groups[] | select(.by as $b | $by | index($b))
    | [.by, (if .name == "" then "-" else .name end), .requests, .whole, .p50_ms, .p99_ms,
       ([(.reasons | to_entries[] | if .key == "none" then .key = "upstream_error" else . end), (.endings | to_entries[] | select(.key != "whole" and .key != "refused"))]
        | map("\(.key)=\(.value)") | join(" "))] | @tsv' "$@" <"$report" |
    while IFS=$'\t' read -r by name sent whole p50 p99 rest; do
      printf '%-10s %-15s %8d %8d %9.1f %9.1f  %s\n' "$by" "$name" "$sent" "$whole" "$p50" "$p99" "$rest"
    done
}

# load_counts <report>: one line of the counts that must be zero.
load_counts() {
  jq -r '.judgement | "duplicates run \(.duplicates_run), wrong verdicts \(.wrong_verdicts), wrong tenants \(
    .wrong_tenants), keys seen by upstreams \(.keys_seen), damaged answers of dependencies \(
    .damaged_dependency_answers), records missing \(.records_missing)"' "$1"
}

# Succeeds when the counts that must be zero are zero.
load_is_clean() {
  [ "$(jq .judgement.clean "$1")" = true ]
}

#!/usr/bin/env bash
# Checks formatting and runs the linters. `scripts/lint.sh --fix` formats the sources instead.
# With file names, only these C++ files are checked, each by itself; the build directory must then be configured.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
jobs=${LINT_JOBS:-$(nproc)}
# Sources in one translation unit. Most of the time of clang-tidy goes into the headers of Asio and the standard
# library, which a unit visits once; longer units leave processors idle at the end.
unit_size=6
mode=check
if [ "${1:-}" = --fix ]; then
  mode=fix
  shift
fi
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
fi
if [ "$mode" = fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi

tidy() {
  clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option "$@" \
    2> >(grep -v -E 'warnings? generated|^Suppressed|^Use -header-filter' >&2 || true)
}

# Checks the sources of one unit together and prints the sources that need a check by themselves: those of a unit
# in which anything is found, or which does not compile because two sources give a local name to different things.
tidy_unit() {
  tidy -p "$lint_dir" --config-file=.clang-tidy --checks=-bugprone-suspicious-include "$1" >/dev/null 2>&1 ||
    sed -n 's/^#include "\(.*\.cpp\)"$/\1/p' "$1"
}
export -f tidy tidy_unit

clang-format --dry-run --Werror "${files[@]}"
mapfile -t scripts < <(git ls-files --cached --others --exclude-standard 'scripts/*.sh' '.ci/run')
shellcheck -x "${scripts[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
if [ "$#" -eq 0 ]; then
  lint_dir=$build_dir/lint
  export lint_dir
  cmake -S . -B "$lint_dir" -DCMAKE_UNITY_BUILD=ON -DCMAKE_UNITY_BUILD_BATCH_SIZE="$unit_size" >/dev/null
  # The units of the compile commands, since files of former units may lie beside them.
  mapfile -t units < <(sed -n 's/^ *"file": "\(.*unity_.*\.cxx\)",\{0,1\}$/\1/p' "$lint_dir/compile_commands.json")
  for source in "${sources[@]}"; do
    grep -q -F "/$source\"" "${units[@]}" || {
      echo "lint: $source is part of no target" >&2
      exit 1
    }
  done
  # shellcheck disable=SC2016 # The inner shell expands its argument.
  mapfile -t sources < <(printf '%s\0' "${units[@]}" | xargs -0 -I '{}' -P "$jobs" bash -c 'tidy_unit "$1"' _ '{}' | sort -u)
  echo "lint: ${#units[@]} units, then ${#sources[@]} files by themselves"
fi
if [ "${#sources[@]}" -gt 0 ]; then
  # shellcheck disable=SC2016 # The inner shell expands its arguments.
  printf '%s\0' "${sources[@]}" | xargs -0 -I '{}' -P "$jobs" bash -c 'tidy -p "$1" "$2"' _ "$build_dir" '{}'
fi
echo "lint: ${#files[@]} files checked"

#!/usr/bin/env bash
# Checks formatting and runs the linters. `scripts/lint.sh --fix` formats the sources instead.
# With file names, only these C++ files are checked. The build directory must be configured.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
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
clang-format --dry-run --Werror "${files[@]}"
mapfile -t scripts < <(git ls-files --cached --others --exclude-standard 'scripts/*.sh' '.ci/run')
shellcheck -x "${scripts[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
if [ "${#sources[@]}" -gt 0 ]; then
  printf '%s\0' "${sources[@]}" |
    xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy -p "$build_dir" --quiet --extra-arg=-Wno-unknown-warning-option 2> >(grep -v -E 'warnings? generated|^Suppressed|^Use -header-filter' >&2 || true)
fi
echo "lint: ${#files[@]} files checked"

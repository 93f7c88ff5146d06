#!/usr/bin/env bash
# Builds the code that reads bytes from others a second time with other compiler options, and runs its tests:
#   scripts/sanitize.sh address          address, leak and undefined behaviour sanitizers (part of scripts/test.sh)
#   scripts/sanitize.sh thread           thread sanitizer
#   scripts/sanitize.sh signed-char      char is signed, as on x86-64
#   scripts/sanitize.sh unsigned-char    char is unsigned, as on arm64
set -euo pipefail
cd "$(dirname "$0")/.."
variant=${1:?address, thread, signed-char or unsigned-char}
# Paths relative to the build directory.
tests=(packages/http/http_tests packages/sidecar/sidecar_tests platform/adapter_tests)
case $variant in
  address) flags=("-fsanitize=address,undefined" -fno-sanitize-recover=all -fno-omit-frame-pointer -O0 -g1) ;;
  thread)
    flags=(-fsanitize=thread -O1 -g1)
    tests+=(packages/quota/quota_tests packages/platform/platform_tests)
    ;;
  signed-char) flags=(-fsigned-char -O1) ;;
  unsigned-char) flags=(-funsigned-char -O1) ;;
  *)
    echo "sanitize: unknown variant $variant" >&2
    exit 2
    ;;
esac
build_dir=${BUILD_DIR:-build}/$variant
cmake -S . -B "$build_dir" -DCMAKE_BUILD_TYPE=Sanitize -DCMAKE_CXX_FLAGS="${flags[*]}" >/dev/null
cmake --build "$build_dir" --parallel "${BUILD_JOBS:-$(nproc)}" --target "${tests[@]##*/}" >/dev/null
for test in "${tests[@]}"; do
  output=$build_dir/${test##*/}.log
  if "$build_dir/$test" >"$output" 2>&1; then
    echo "sanitize $variant: $test: $(grep '^OK' "$output")"
  else
    cat "$output"
    echo "sanitize $variant: $test failed" >&2
    exit 1
  fi
done

#!/usr/bin/env bash
# Fuzz test of the decoders with address and undefined behaviour sanitizers.
#
#   scripts/fuzz.sh MINUTES [SEED]    mutated inputs for so many minutes; the seed is drawn and printed if none is given
#
# An input on which a decoder fails stays as fuzz-failure-TARGET in the working directory. Add it to
# platform/fuzz/corpus/TARGET/ with the fix.
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=${1:?usage: scripts/fuzz.sh MINUTES [SEED]}
seed=${2:-$RANDOM$RANDOM}
build_dir=${BUILD_DIR:-build-sanitize}
cmake -S . -B "$build_dir" -DCMAKE_CXX_FLAGS="-fsanitize=address,undefined -fno-sanitize-recover=undefined" >/dev/null
cmake --build "$build_dir" --parallel "${BUILD_JOBS:-$(nproc)}" --target laburnumreach-fuzz
echo "fuzz: seed $seed"
"$build_dir/platform/fuzz/laburnumreach-fuzz" --corpus platform/fuzz/corpus --seed "$seed" --minutes "$minutes"

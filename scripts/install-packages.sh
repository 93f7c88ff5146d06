#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the benches need. Does nothing when all are there.
set -euo pipefail
packages=(
  g++ cmake make pkg-config clang-format clang-tidy shellcheck
  libnng-dev libcpp-httplib-dev libtomlplusplus-dev libcli11-dev libeasyloggingpp-dev libexpected-dev
  libcppunit-dev libboost-dev libmsgpack-cxx-dev nlohmann-json3-dev libssl-dev libxxhash-dev prometheus-cpp-dev
  gnuplot-nox curl jq
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q '^install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  run=()
  [ "$(id -u)" -eq 0 ] || run=(sudo)
  "${run[@]}" apt-get update -q
  DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
fi

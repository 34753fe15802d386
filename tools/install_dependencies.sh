#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy
  libboost1.81-dev libgflags-dev liblog4cxx-dev doctest-dev
  libflatbuffers-dev prometheus-cpp-dev nlohmann-json3-dev libxxhash-dev libsodium-dev
  clang libclang-rt-14-dev libbenchmark-dev librapidcheck-dev curl python3
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null

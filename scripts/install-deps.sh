#!/usr/bin/env bash
# Installs the Debian packages that building, testing and linting need.
# Safe to run twice: does nothing when all of them are present.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config
  libboost1.81-dev libcxxopts-dev libspdlog-dev libcppunit-dev
  nlohmann-json3-dev libtomlplusplus-dev prometheus-cpp-dev libxxhash-dev
  clang-format-14 clang-tidy-16 curl jq git
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

sudo_command=()
if [ "$(id -u)" -ne 0 ]; then
  sudo_command=(sudo)
fi
echo "installing: ${missing[*]}"
"${sudo_command[@]}" apt-get update -qq
"${sudo_command[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null

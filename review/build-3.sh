#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13, to review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o build/cases-3 standins-3/cases.cpp

#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases to target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" -o "target/review/case-$number"
done

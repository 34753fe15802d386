#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 6 to 10 to target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source="review/$number/case.cpp"
  if [ -f "$source" ]; then
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
  fi
done

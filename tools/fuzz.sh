#!/usr/bin/env bash
# Builds the fuzz target of the parsers with clang and runs it: for a time in seconds (default 60) and with a seed
# (default 1). Exits with 1 and leaves the input in build/fuzz if a check or a sanitizer fails.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-60}"
seed="${2:-1}"
tools/install_dependencies.sh
mkdir -p build/fuzz/corpus
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -DBOOST_ALL_NO_LIB \
  -Iinclude -Isrc tests/fuzz/parser_fuzz.cpp src/http/message_parser.cpp src/gateway/event_splitter.cpp \
  -o build/fuzz/parser_fuzz
build/fuzz/parser_fuzz -seed="$seed" -max_total_time="$seconds" -max_len=65536 -timeout=10 \
  -artifact_prefix=build/fuzz/ -print_final_stats=1 build/fuzz/corpus tests/fuzz/seeds >build/fuzz/log 2>&1 || {
  tail -n 40 build/fuzz/log
  exit 1
}
grep 'stat::number_of_executed_units' build/fuzz/log

#!/usr/bin/env bash
# Runs every test case of a build folder, each in its own process, and counts them.
set -uo pipefail
cd "$(dirname "$0")/.."
build="${1:-build/release}"
jobs="${JOBS:-4}"
results="$(mktemp -d)"
trap 'rm -rf "$results"' EXIT

# Programs that check themselves count as one case each.
programs=("tamarack-demo" "tamarack-path-bench --check")

run_case() {
  local number="$1" name="$2"
  local command=("$build/tamarack-tests" "--test-case=$name")
  if [[ "$name" == tamarack-* ]]; then
    read -r -a command <<<"$build/$name"
  fi
  if timeout 300 "${command[@]}" >"$results/$number.log" 2>&1; then
    echo "passed $name" >"$results/$number.result"
  else
    echo "failed $name" >"$results/$number.result"
  fi
}
export -f run_case
export build results

mapfile -t cases < <("$build/tamarack-tests" --list-test-cases --no-version=true | grep -E '^[a-z][a-z0-9_]+$')
if [ "${#cases[@]}" -eq 0 ]; then
  echo "no test cases found"
  exit 1
fi
cases+=("${programs[@]}")
# Cases that check a process's memory and descriptors under crowds run one at a time, after all others.
is_alone() { [[ "$1" == misbehaving_clients_* ]]; }
for index in "${!cases[@]}"; do
  is_alone "${cases[$index]}" || printf '%s\0%s\0' "$index" "${cases[$index]}"
done | xargs -0 -n 2 -P "$jobs" bash -c 'run_case "$0" "$1"'
for index in "${!cases[@]}"; do
  if is_alone "${cases[$index]}"; then
    run_case "$index" "${cases[$index]}"
  fi
done

passed=0
failed=0
unexpected=0
for index in "${!cases[@]}"; do
  name="${cases[$index]}"
  if grep -q '^passed' "$results/$index.result" 2>/dev/null; then
    passed=$((passed + 1))
    continue
  fi
  failed=$((failed + 1))
  if [ -f KNOWN-RED.txt ] && grep -q "^test: $name\$" KNOWN-RED.txt; then
    echo "known red: $name"
  else
    unexpected=$((unexpected + 1))
    echo "FAILED: $name"
    tail -n 40 "$results/$index.log"
  fi
done
if [ "$unexpected" -gt 0 ]; then
  echo "$passed passed, $failed failed"
  exit 1
fi
echo "$passed passed, $failed failed"

#!/usr/bin/env bash
# Installs what is missing and builds a preset (default: release).
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
tools/install_dependencies.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -j "$(nproc)" | grep -vE '^(\[[0-9]+/[0-9]+\]|ninja: no work)' || true
cmake --build --preset "$preset" -j "$(nproc)" >/dev/null

#!/usr/bin/env bash
# Builds and runs both deployments of the brief on stand-ins. Exits 0 only if every promise held.
# --keep leaves everything running until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh release
exec build/release/tamarack-demo "$@"

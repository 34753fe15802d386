#!/usr/bin/env bash
# Runs clang-tidy over the sources without coroutines, or over the files given. Needs a configured release build.
# Debian's clang-tidy 14 cannot parse the coroutines of this standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files 'src/kernel/*.cpp' 'src/tables/*.cpp' 'src/configuration/*.cpp' 'src/placement/*.cpp' \
    'src/planning/*.cpp' 'src/membership/*.cpp' 'src/routing/*.cpp' 'src/admission/*.cpp' 'src/claims/*.cpp' 'src/ledger/*.cpp' \
    'src/observe/*.cpp' 'src/wire/*code.cpp' 'src/wire/assembly.cpp' 'src/agent/shutdown_machine.cpp' \
    'src/fleet/*.cpp' 'src/memory/*.cpp' 'src/identity/*.cpp' 'src/dispatch/*.cpp' 'src/quotas/*.cpp' 'src/provisioning/*.cpp' 'src/engine/*.cpp' 'src/engine_agent/order_book.cpp' \
    'src/gateway/demand.cpp' 'src/gateway/peers.cpp' 'src/gateway/planner.cpp' 'src/gateway/event_splitter.cpp' \
    'src/gateway/head_rewrite.cpp' 'src/gateway/endpoint.cpp' 'src/gateway/fleet_state.cpp' 'src/links/link.cpp' 'src/ctl/story.cpp' \
    'src/net/*.cpp' 'src/http/message_parser.cpp' 'src/http/kept_client.cpp' 'src/gateway/exchange.cpp' \
    'src/gateway/client_session.cpp' 'src/gateway/client_listener.cpp' 'src/gateway/request_flow.cpp' 'src/gateway/request_flow_response.cpp' 'src/gateway/request_flow_waits.cpp' \
    'platform/*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet --extra-arg=-Wno-unknown-warning-option

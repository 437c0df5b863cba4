#!/usr/bin/env bash
# Measures the latency that the nodes add, compared with direct calls to the
# upstream in the same run, for the adaptive and the naive policy. With TLS=yes,
# the nodes use TLS. The first load of each policy is a warm-up.
# Usage: scripts/latency.sh RATE [SECONDS]
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RATE=${1:-250}
LOAD_SECONDS=${2:-10}

measure() {
  POLICY=$1
  RUN=$(mktemp -d)
  . scripts/fleet.sh
  [ "${TLS:-}" = yes ] && make_certificates 2
  start_platform
  start_node 1 domain-1
  start_node 2 domain-2
  start_upstream 2 sizing -slots 64
  await_hosts 2 || { stop_fleet; return 1; }
  ctl workspace-set -rate 100000 -burst 100000 gloves >/dev/null
  ctl route-set -service sizing -idempotent /sizes >/dev/null
  local key
  key=$(ctl key-give gloves 2>/dev/null)
  cat >"$RUN/load.ini" <<INI
[load]
duration = ${LOAD_SECONDS}s
[stream.direct]
rate = $RATE
targets = 127.0.0.1:10025
path = /sizes/1
[stream.$POLICY]
rate = $RATE
targets = 127.0.0.1:10010
path = /sizes/1
key = $key
INI
  "$BIN/quetzal-load" -scenario "$RUN/load.ini" >/dev/null
  "$BIN/quetzal-load" -scenario "$RUN/load.ini"
  stop_fleet
  rm -rf "$RUN"
}

measure adaptive
measure naive

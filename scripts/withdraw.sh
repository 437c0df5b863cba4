#!/usr/bin/env bash
# Withdraws a key under load and measures how long requests with the key are still
# answered: without faults, with platform faults, and with one suspended node.
# Usage: scripts/withdraw.sh
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
set_switches() { curl -s -X PUT -d "$1" http://$PLATFORM/switches; }

# measure NAME SWITCHES [suspend] withdraws the key of a new fleet while the platform
# has the given switches and, with suspend, while node-3 is suspended.
measure() {
  RUN=$(mktemp -d)
  . scripts/fleet.sh
  make_certificates 6
  start_platform
  local n nodes=()
  for n in 1 2 3 4 5 6; do
    start_node $n "domain-$(((n - 1) % 3 + 1))"
    nodes[n]=${PIDS[-1]}
    start_upstream $n sizing -slots 16 -time 1ms
  done
  await_hosts 6 || { stop_fleet; return 1; }
  ctl workspace-set -rate 10000 -burst 10000 gloves >/dev/null
  ctl route-set -service sizing -idempotent /sizes >/dev/null
  local key
  key=$(ctl key-give gloves 2>/dev/null)
  printf '[load]\nduration = 25s\ntimeout = 3s\n[stream.lookup]\nrate = 300\npath = /sizes/1\nkey = %s\ntargets = %s\n' "$key" \
    "$(for n in 1 2 3 4 5 6; do printf '127.0.0.1:%d,' $((10000 + 10 * n)); done | sed 's/,$//')" >"$RUN/load.ini"
  local fingerprint
  fingerprint=$(ctl keys | awk '$1 == "gloves" {print $2}')
  "$BIN/quetzal-load" -json -scenario "$RUN/load.ini" >"$RUN/load.json" &
  local load=$! started
  started=$(date +%s%N)
  sleep 4
  [ "${3:-}" = suspend ] && kill -STOP "${nodes[3]}"
  set_switches "$2"
  local requested
  requested=$((($(date +%s%N) - started) / 1000000))
  ctl -wait 1s key-withdraw "$fingerprint" 2>&1 | sed 's/^/   /'
  local accepted
  accepted=$((($(date +%s%N) - started) / 1000000))
  sleep 6
  set_switches '{}'
  [ "${3:-}" = suspend ] && kill -CONT "${nodes[3]}"
  wait $load
  local last
  last=$(grep -oE '"course":\[[0-9,]*' "$RUN/load.json" | sed 's/.*\[//' | tr ',' '\n' | awk '$1 > 0 {l = NR} END {print l * 100}')
  echo "$1: withdrawn from $requested ms (command ended at $accepted ms), last request answered was due before $last ms"
  stop_fleet
  rm -rf "$RUN"
}

measure "no faults" '{}'
measure "platform slow by 1 s" '{"delay":"1s"}'
measure "response to the write lost" '{"lose":true}'
measure "one node suspended for 7 s, then resumed" '{}' suspend

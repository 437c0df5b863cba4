#!/usr/bin/env bash
# Takes the platform down for one minute under load, restarts one node and starts a
# new one during the outage, and counts the answers at both kinds of nodes.
# Usage: scripts/outage.sh
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT
set_switches() { curl -s -X PUT -d "$1" http://$PLATFORM/switches; }
JOIN=$'[gossip]\njoin = 127.0.0.1:10011,127.0.0.1:10021'
make_certificates 7
start_platform
declare -A NODE
for n in 1 2 3 4 5 6; do
  start_node $n "domain-$(((n - 1) % 3 + 1))" "$JOIN"
  NODE[$n]=${PIDS[-1]}
  start_upstream $n sizing -slots 16 -time 2ms
done
await_hosts 6 || exit 1
ctl workspace-set -rate 1000 -burst 1000 gloves >/dev/null
ctl route-set -service sizing -idempotent /sizes >/dev/null
KEY=$(ctl key-give gloves 2>/dev/null)
# load NAME DURATION TARGETS sends load and writes the result to NAME.out.
load() {
  printf '[load]\nduration = %s\ntimeout = 3s\n[stream.lookup]\nrate = 100\npath = /sizes/1\nkey = %s\ntargets = %s\n' "$2" "$KEY" "$3" >"$RUN/$1.ini"
  "$BIN/quetzal-load" -scenario "$RUN/$1.ini" >"$RUN/$1.out"
}
sleep 2
set_switches '{"down":true}'
load old 60s 127.0.0.1:10010,127.0.0.1:10020,127.0.0.1:10040 &
OLD_LOAD=$!
sleep 10
kill -KILL "${NODE[5]}"
wait "${NODE[5]}" 2>/dev/null
start_node 5 domain-2 "$JOIN"
start_node 7 domain-1 "$JOIN"
sleep 10
load new 30s 127.0.0.1:10050,127.0.0.1:10070
wait $OLD_LOAD
for name in old new; do
  echo "at $name nodes during the outage:"
  tail -n 1 "$RUN/$name.out"
done
set_switches '{}'
ctl workspace-set -rate 900 -burst 900 gloves
ctl hosts

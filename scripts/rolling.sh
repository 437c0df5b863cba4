#!/usr/bin/env bash
# Restarts each node in turn under load and counts failed requests.
# Usage: scripts/rolling.sh
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT
make_certificates 6
start_platform
declare -A NODE
for n in 1 2 3 4 5 6; do
  start_node $n "domain-$(((n - 1) % 3 + 1))"
  NODE[$n]=${PIDS[-1]}
done
for n in 1 2 3; do start_upstream $n sizing -slots 16 -time 5ms -calls /patterns/1; done
for n in 4 5 6; do start_upstream $n patterns -slots 16 -time 5ms; done
await_hosts 6 || exit 1
ctl workspace-set -rate 400 -burst 400 gloves >/dev/null
ctl route-set -service sizing -methods POST -class critical /sizes >/dev/null
ctl route-set -service patterns /patterns >/dev/null
KEY=$(ctl key-give gloves 2>/dev/null)
# load DURATION TARGETS NAME sends load. Callers use node 6 while nodes 1 to 5
# restart, and node 1 while node 6 restarts.
load() {
  printf '[load]\nduration = %s\ntimeout = 5s\n[stream.order]\nrate = 200\nmethod = POST\npath = /sizes/1\nkey = %s\ntargets = %s\n' "$1" "$KEY" "$2" >"$RUN/$3.ini"
  "$BIN/quetzal-load" -scenario "$RUN/$3.ini"
}
# restart NUMBER stops a node with SIGTERM and starts it again.
restart() {
  local n=$1
  kill -TERM "${NODE[$n]}"
  wait "${NODE[$n]}"
  start_node "$n" "domain-$(((n - 1) % 3 + 1))"
  NODE[$n]=${PIDS[-1]}
  sleep 4
}
sleep 2
load 50s 127.0.0.1:10060 a >"$RUN/a.out" &
LOAD=$!
for n in 1 2 3 4 5; do restart $n; done
wait $LOAD
cat "$RUN/a.out"
load 16s 127.0.0.1:10010 b >"$RUN/b.out" &
LOAD=$!
restart 6
wait $LOAD
cat "$RUN/b.out"
ctl counters

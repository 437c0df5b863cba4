#!/usr/bin/env bash
# Suspends, kills and restarts random nodes and takes the platform down under load,
# then checks in the upstreams' request counts that no order ran twice.
# Usage: scripts/chaos.sh [SECONDS] [SEED]
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=$(mktemp -d)
. scripts/fleet.sh
LOAD_SECONDS=${1:-60}
RANDOM=${2:-1}
trap 'stop_fleet; rm -rf "$RUN"' EXIT
make_certificates 8
start_platform
declare -A NODE
domain_of() { echo "domain-$((($1 - 1) % 4 + 1))"; }
for n in 1 2 3 4 5 6 7 8; do
  start_node $n "$(domain_of $n)"
  NODE[$n]=${PIDS[-1]}
done
for n in 1 2 3 4; do start_upstream $n orders -slots 8 -time 10ms; done
for n in 5 6 7 8; do start_upstream $n sizing -slots 8 -time 10ms; done
await_hosts 8 || exit 1
ctl workspace-set -rate 1000 -burst 1000 gloves >/dev/null
ctl route-set -service orders -methods POST -class critical -timeout 3s /orders >/dev/null
ctl route-set -service sizing -idempotent -timeout 3s /sizes >/dev/null
KEY=$(ctl key-give gloves 2>/dev/null)
targets=$(for n in 1 2 3 4 5 6 7 8; do printf '127.0.0.1:%d,' $((10000 + 10 * n)); done)
cat >"$RUN/load.ini" <<INI
[load]
duration = ${LOAD_SECONDS}s
timeout = 8s
[stream.order]
rate = 150
method = POST
path = /orders/1
body = 300
key = $KEY
targets = ${targets%,}
[stream.lookup]
rate = 100
idempotent = yes
path = /sizes/1
key = $KEY
targets = ${targets%,}
INI
"$BIN/quetzal-load" -scenario "$RUN/load.ini" -ledgers 127.0.0.1:10015,127.0.0.1:10025,127.0.0.1:10035,127.0.0.1:10045,127.0.0.1:10055,127.0.0.1:10065,127.0.0.1:10075,127.0.0.1:10085 &
LOAD=$!
set_switches() { curl -s -X PUT -d "$1" http://$PLATFORM/switches; }
END=$((SECONDS + LOAD_SECONDS - 8))
while [ $SECONDS -lt $END ]; do
  n=$((RANDOM % 8 + 1))
  case $((RANDOM % 5)) in
  0 | 1)
    kill -STOP "${NODE[$n]}"
    sleep $((RANDOM % 7 + 1))
    kill -CONT "${NODE[$n]}"
    ;;
  2 | 3)
    kill -KILL "${NODE[$n]}"
    wait "${NODE[$n]}" 2>/dev/null
    start_node $n "$(domain_of $n)"
    NODE[$n]=${PIDS[-1]}
    ;;
  4)
    set_switches '{"down":true}'
    sleep 4
    set_switches '{}'
    ;;
  esac
  sleep 2
done
set_switches '{}'
wait $LOAD
STATUS=$?
ctl counters
exit $STATUS

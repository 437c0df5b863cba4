#!/usr/bin/env bash
# Measures the CPU time, traffic and memory that each node of an idle fleet uses, and
# the time until a change is in force on all nodes, for each number of nodes.
# SPAN is the time of the measurement in seconds.
# Usage: scripts/scale.sh N...
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
SPAN=${SPAN:-20}

# sum_field NAME adds up a variable over the expvar pages of all nodes.
sum_field() {
  local total=0 n
  for ((n = 1; n <= COUNT; n++)); do
    curl -s "http://127.0.0.1:$((10000 + 10 * n + 3))/debug/vars"
    echo
  done | grep -oE "\"$1\": ?[0-9.]+" | awk -F: '{s += $2} END {printf "%.3f", s}'
}

# platform_calls prints the number of calls that the platform received.
platform_calls() {
  curl -s http://$PLATFORM/switches | grep -oE '"(reads|watches|writes)":[0-9]+' | awk -F: '{s += $2} END {print s}'
}

measure() {
  COUNT=$1
  RUN=$(mktemp -d)
  . scripts/fleet.sh
  start_platform
  local n
  for ((n = 1; n <= COUNT; n++)); do
    start_node "$n" "domain-$(((n - 1) % 7 + 1))"
    ((n % 10 == 0)) && sleep 0.5
  done
  await_hosts "$COUNT" || { stop_fleet; return 1; }
  for n in 1 2 3 4 5 6 7 8; do
    ctl -wait 20s workspace-set -rate 1000 -burst 1000 "workspace-$n" >/dev/null
  done
  sleep 10
  local cpu0 out0 in0 calls0 cpu1 out1 in1 calls1
  calls0=$(platform_calls); cpu0=$(sum_field cpu_seconds); out0=$(sum_field bytes_sent); in0=$(sum_field bytes_received)
  local t0; t0=$(date +%s.%N)
  sleep "$SPAN"
  calls1=$(platform_calls); cpu1=$(sum_field cpu_seconds); out1=$(sum_field bytes_sent); in1=$(sum_field bytes_received)
  local t1; t1=$(date +%s.%N)
  local rss=0 p
  rss=$(for p in "${PIDS[@]}"; do awk -v n="$(tr '\0' ' ' <"/proc/$p/cmdline" | grep -c quetzald)" '/VmRSS/ && n == 1 {print $2}' "/proc/$p/status"; done | awk '{s += $1; c++} END {printf "%.1f", s / c / 1024}')
  local durations=()
  for n in 1 2 3 4 5; do
    durations+=("$("$BIN/quetzalctl" -platform $PLATFORM -node 127.0.0.1:10013 -json workspace-set -rate $((1000 + n)) -burst 1000 workspace-1 | grep -oE '"took": ?"[^"]+"' | cut -d'"' -f4)")
  done
  awk -v n="$COUNT" -v s="$(echo "$t1 $t0" | awk '{print $1 - $2}')" -v c0="$cpu0" -v c1="$cpu1" -v o0="$out0" -v o1="$out1" -v i0="$in0" -v i1="$in1" -v p0="$calls0" -v p1="$calls1" -v rss="$rss" -v durations="${durations[*]}" \
    'BEGIN {printf "nodes %d  cpu %.2f%% of a core  sent %.2f KB/s  received %.2f KB/s  memory %.1f MB  platform %.1f calls/s  in force: %s\n", n, 100*(c1-c0)/s/n, (o1-o0)/s/n/1000, (i1-i0)/s/n/1000, rss, (p1-p0)/s, durations}'
  stop_fleet
  rm -rf "$RUN"
}

for count in "$@"; do
  measure "$count"
done

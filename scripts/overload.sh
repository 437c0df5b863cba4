#!/usr/bin/env bash
# Overloads one of two call graphs, scaled down to one host, under each policy
# (default: adaptive and naive). "slow" slows the deepest service, "surge" raises
# the request rate.
# Usage: scripts/overload.sh tallas|regie slow|surge|both [POLICY...]
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
GRAPH=${1:-tallas}
TRIGGER=${2:-slow}
shift 2
POLICIES=("$@")
[ ${#POLICIES[@]} -eq 0 ] && POLICIES=(adaptive naive)
# The overload lasts from FROM to TO; the load ends at END, all in seconds.
FROM=8
TO=14
END=30

# GRAPH_upstreams prints one upstream per line: NODE SERVICE SLOTS TIME CALLS.
tallas_upstreams() {
  cat <<'U'
1 sizing 6 20ms
2 sizing 6 20ms
3 orders 6 10ms /patterns/1
4 orders 6 10ms /patterns/1
5 patterns 6 15ms /grades/1
6 patterns 6 15ms /grades/1
7 grades 3 10ms
8 grades 3 10ms
U
}

regie_upstreams() {
  cat <<'U'
1 folds 3 20ms
2 folds 3 40ms
3 bookings 4 10ms /archives/1
4 bookings 4 10ms /archives/1
5 archives 5 15ms /contests/1
6 archives 5 30ms /contests/1
7 contests 3 10ms
8 contests 3 10ms
U
}

# GRAPH_streams KEY1 KEY2 prints the streams of the load.
tallas_streams() {
  local surge=""
  [ "$TRIGGER" = slow ] || surge=$(printf 'surge = 4\nfrom = %ss\nto = %ss' $FROM $TO)
  printf '[stream.lookup]\nrate = 200\npath = /sizes/1\nkey = %s\n%s\n' "$1" "$surge"
  printf '[stream.pattern]\nrate = 100\npath = /patterns/1\nkey = %s\n%s\n' "$2" "$surge"
  printf '[stream.order]\nrate = 100\nmethod = POST\npath = /orders/1\nkey = %s\n' "$2"
}

regie_streams() {
  local surge=""
  [ "$TRIGGER" = slow ] || surge=$(printf 'surge = 4\nfrom = %ss\nto = %ss' $FROM $TO)
  printf '[stream.lookup]\nrate = 80\npath = /folds/1\nkey = %s\n%s\n' "$1" "$surge"
  printf '[stream.archive]\nrate = 100\npath = /archives/1\nkey = %s\n%s\n' "$2" "$surge"
  printf '[stream.booking]\nrate = 100\nmethod = POST\npath = /bookings/1\nkey = %s\n' "$2"
}

set_routes() {
  ctl route-set -service sizing -class low -idempotent /sizes
  ctl route-set -service orders -class critical -methods POST /orders
  ctl route-set -service patterns -class normal -idempotent /patterns
  ctl route-set -service grades -class normal -idempotent /grades
  ctl route-set -service folds -class low -idempotent /folds
  ctl route-set -service bookings -class critical -methods POST /bookings
  ctl route-set -service archives -class normal -idempotent /archives
  ctl route-set -service contests -class normal -idempotent /contests
}

# slow_deepest_service raises the service time of the deepest service tenfold from
# FROM to TO.
slow_deepest_service() {
  sleep $FROM
  curl -s -X PUT "http://127.0.0.1:10075/control/time?value=100ms"
  curl -s -X PUT "http://127.0.0.1:10085/control/time?value=100ms"
  sleep $((TO - FROM))
  curl -s -X PUT "http://127.0.0.1:10075/control/time?value=10ms"
  curl -s -X PUT "http://127.0.0.1:10085/control/time?value=10ms"
}

# measure POLICY runs the load against a new fleet.
measure() {
  POLICY=$1
  RUN=$(mktemp -d)
  . scripts/fleet.sh
  make_certificates 8
  start_platform
  local n service slots time calls targets=""
  for n in 1 2 3 4 5 6 7 8; do
    start_node $n "domain-$(((n - 1) % 4 + 1))" "$(printf '[traffic]\ndeadline = 2s\n%s' "${EXTRA:-}")"
    targets+="127.0.0.1:$((10000 + 10 * n)),"
  done
  while read -r n service slots time calls; do
    start_upstream "$n" "$service" -slots "$slots" -time "$time" -calls "$calls"
  done < <("${GRAPH}_upstreams")
  await_hosts 8 || { stop_fleet; return 1; }
  ctl workspace-set -rate 5000 -burst 5000 small >/dev/null
  ctl workspace-set -rate 5000 -burst 5000 large >/dev/null
  set_routes >/dev/null
  local k1 k2
  k1=$(ctl key-give small 2>/dev/null)
  k2=$(ctl key-give large 2>/dev/null)
  {
    printf '[load]\nduration = %ss\ntimeout = 1s\nuseful = 2s\nfrom = %ss\nto = %ss\n' $END $FROM $TO
    "${GRAPH}_streams" "$k1" "$k2" | sed "s/^path/targets = ${targets%,}\nresends = 2\npath/"
  } >"$RUN/load.ini"
  [ "$TRIGGER" = surge ] || { slow_deepest_service & PIDS+=($!); }
  echo "-- $GRAPH, $TRIGGER, $POLICY"
  "$BIN/quetzal-load" -scenario "$RUN/load.ini"
  ctl counters | awk 'NR > 1 {printf "   %s\n", $0}' | tr -s ' ' | paste -sd';'
  stop_fleet
  rm -rf "$RUN"
}

for policy in "${POLICIES[@]}"; do
  measure "$policy"
done

#!/usr/bin/env bash
# Starts a fake platform and six nodes in three failure domains with their
# upstreams, and sends requests through a chain of three services.
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT

URLS=()
for n in 1 2 3 4 5 6; do URLS+=("http://127.0.0.1:$((10000 + 10 * n))/sizes/7"); done

caller() {
  "$BIN/quetzal-standin" caller -key "$KEY" "$@"
}

fail() {
  echo "demo failed: $1" >&2
  grep -hE "WARN|ERRO|FATA" "$RUN"/*.log | tail -n 20 >&2
  exit 1
}

echo "== start: platform, 6 nodes in 3 failure domains, 3 services calling each other"
make_certificates 6
start_platform
for n in 1 2 3 4 5 6; do
  start_node $n "domain-$(((n - 1) % 3 + 1))"
done
start_upstream 1 sizing -slots 16 -time 2ms -calls /patterns/7
start_upstream 2 sizing -slots 16 -time 2ms -calls /patterns/7
start_upstream 3 patterns -slots 16 -time 2ms -calls /grades/7
start_upstream 4 patterns -slots 16 -time 2ms -calls /grades/7
start_upstream 5 grades -slots 8 -time 1ms
start_upstream 6 grades -slots 8 -time 1ms
await_hosts 6 || fail "node-1 did not see 6 live hosts within 20 s"

echo "== configure"
ctl workspace-set -rate 50 -burst 20 gloves || fail "cannot set the workspace"
ctl route-set -service sizing -class high -idempotent /sizes || fail "cannot set a route"
ctl route-set -service patterns -idempotent /patterns || fail "cannot set a route"
ctl route-set -service grades -idempotent /grades || fail "cannot set a route"
KEY=$(ctl key-give gloves) || fail "cannot create a key"
ctl hosts
ctl shards | head -4

echo "== one request through three services"
caller http://127.0.0.1:10040/sizes/7 || fail "the request through three services failed"
echo "== 40 requests, round-robin to all nodes, within rate and burst"
answers=$(caller -count 40 -pause 25ms "${URLS[@]}")
echo "$answers"
[ "$answers" = "status 200: 40 requests" ] || fail "requests within the rate were refused"
echo "== evacuate domain-1: 40 requests within rate and burst run elsewhere; then take it back"
ctl evacuate domain-1 || fail "cannot evacuate domain-1"
sleep 4
ctl hosts | grep -c evacuated | grep -qx 2 || fail "two hosts are not marked as evacuated"
answers=$(caller -count 40 -pause 25ms "${URLS[@]}")
echo "$answers"
[ "$answers" = "status 200: 40 requests" ] || fail "requests were refused during an evacuation"
ctl return domain-1 || fail "cannot take back domain-1"
echo "== 200 requests at once, ten times the burst"
caller -count 200 -width 20 http://127.0.0.1:10010/sizes/7
echo "== plan a sheet with an error, then plan and apply a correct one"
printf 'espacio;tasa;rafaga\r\ngloves;1.200;80\r\n' >"$RUN/sheet.csv"
ctl plan "$RUN/sheet.csv" && fail "a sheet with an error was accepted"
printf 'espacio;tasa;rafaga\r\ngloves;60,5;30\r\nplanes;40;20\r\n' >"$RUN/sheet.csv"
ctl plan "$RUN/sheet.csv" || fail "cannot plan the sheet"
ctl apply -plan 7 "$RUN/sheet.csv" || fail "cannot apply the sheet"
echo "== withdraw the key"
while read -r workspace fingerprint _; do
  [ "$workspace" != gloves ] || ctl key-withdraw "$fingerprint" || fail "cannot withdraw the key"
done < <(ctl keys)
refused=$(caller http://127.0.0.1:10050/sizes/7)
echo "$refused"
request=$(sed -n 's/.*"request":"\([A-Z0-9]*\)".*/\1/p' <<<"$refused")
ctl why "$request" || fail "the refusal was not explained"
echo "== refusals and retries by reason"
ctl counters || fail "cannot read the counters"
echo "== stop"

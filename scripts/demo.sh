#!/usr/bin/env bash
# Starts a platform stand-in, six nodes in three failure domains with their
# upstreams, and sends requests through a call chain three deep.
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT

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
await_hosts 6 || fail "the fleet did not form"

echo "== configure"
ctl workspace-set -rate 50 -burst 20 gloves || fail "workspace"
ctl route-set -service sizing -class high -idempotent /sizes || fail "route"
ctl route-set -service patterns -idempotent /patterns || fail "route"
ctl route-set -service grades -idempotent /grades || fail "route"
KEY=$(ctl key-give gloves) || fail "key"
ctl hosts
ctl shards | head -4

echo "== a request through three services"
curl -sS -i -H "Authorization: Bearer $KEY" http://127.0.0.1:10040/sizes/7 || fail "request"
echo "== 40 requests more, at all nodes, inside rate and burst"
ok=0
for i in $(seq 40); do
  sleep 0.02
  status=$(curl -s -o "$RUN/answer" -w '%{http_code}' -H "Authorization: Bearer $KEY" "http://127.0.0.1:$((10000 + 10 * (i % 6 + 1)))/sizes/$i")
  [ "$status" = 200 ] && ok=$((ok + 1))
done
echo "answered: $ok of 40"
[ "$ok" -ge 38 ] || fail "requests inside the rate were refused"
echo "== a burst of 200 requests, ten times the burst"
seq 200 | xargs -P 20 -I{} curl -s -o /dev/null -w '%{http_code}\n' -H "Authorization: Bearer $KEY" "http://127.0.0.1:10010/sizes/{}" | sort | uniq -c
echo "== withdraw the key"
ctl key-withdraw "$(ctl keys | awk '/gloves/ {print $2}')" || fail "withdrawal"
curl -sS -H "Authorization: Bearer $KEY" http://127.0.0.1:10050/sizes/7
echo "== refusals and retries by reason"
ctl counters || fail "counters"
echo "== stop"

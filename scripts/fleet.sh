# Functions that start and stop a fleet on loopback, for the demo and the
# measurements. Set BIN to the folder of the programs and RUN to a folder for
# settings, certificates and logs before sourcing this file.

PIDS=()
PLATFORM=127.0.0.1:6100

# start_process LOG COMMAND... runs a program in the background.
start_process() {
  local log=$1
  shift
  "$@" >"$RUN/$log.out" 2>"$RUN/$log.log" &
  PIDS+=($!)
}

# stop_fleet stops all started processes, the newest first.
stop_fleet() {
  local i
  for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do
    kill "${PIDS[$i]}" 2>/dev/null
  done
  wait 2>/dev/null
  PIDS=()
}

# make_certificates COUNT issues certificates for node-1 to node-COUNT and an
# operator. Nodes started afterwards use TLS.
make_certificates() {
  "$BIN/quetzal-standin" authority -folder "$RUN" $(seq -f 'node-%.0f' "$1")
}

# tls_settings NUMBER prints the [tls] section of node-NUMBER if certificates were
# issued.
tls_settings() {
  [ -f "$RUN/authority.crt" ] || return 0
  printf '[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n' \
    "$RUN/node-$1.crt" "$RUN/node-$1.key" "$RUN/authority.crt"
}

# start_platform starts the fake platform.
start_platform() {
  start_process platform "$BIN/quetzal-standin" platform -listen $PLATFORM
}

# start_node NUMBER DOMAIN [SETTINGS] starts node-NUMBER on the ports
# 10000+10*NUMBER (callers), +1 (peers), +2 (local), +3 (operators), with extra lines of settings.
start_node() {
  local number=$1 domain=$2 settings=${3:-}
  local base=$((10000 + 10 * number))
  cat >"$RUN/node-$number.ini" <<INI
[node]
name = node-$number
domain = $domain
callers = 127.0.0.1:$base
peers = 127.0.0.1:$((base + 1))
local = 127.0.0.1:$((base + 2))
admin = 127.0.0.1:$((base + 3))
policy = ${POLICY:-adaptive}
[platform]
address = $PLATFORM
[gossip]
secret = a-secret-for-loopback-only
$(tls_settings "$number")
$settings
INI
  start_process "node-$number" "$BIN/quetzald" -settings "$RUN/node-$number.ini"
}

# start_upstream NUMBER SERVICE [FLAGS...] starts an upstream that announces itself
# to node-NUMBER.
start_upstream() {
  local number=$1 service=$2
  shift 2
  local base=$((10000 + 10 * number))
  start_process "upstream-$number" "$BIN/quetzal-standin" upstream \
    -listen 127.0.0.1:$((base + 5)) -local 127.0.0.1:$((base + 2)) -service "$service" "$@"
}

# ctl ARGUMENTS... runs quetzalctl against the platform and node-1.
ctl() {
  local certificates=()
  [ -f "$RUN/authority.crt" ] && certificates=(-certificate "$RUN/operator.crt" -key "$RUN/operator.key" -authority "$RUN/authority.crt")
  "$BIN/quetzalctl" "${certificates[@]}" -platform $PLATFORM -node 127.0.0.1:10013 "$@"
}

# await_hosts N waits up to 20 s until node-1 sees N live hosts.
await_hosts() {
  local i
  for ((i = 0; i < 100; i++)); do
    [ "$(ctl hosts 2>/dev/null | grep -c ' alive ')" -ge "$1" ] && return 0
    sleep 0.2
  done
  echo "node-1 did not see $1 live hosts within 20 s" >&2
  return 1
}

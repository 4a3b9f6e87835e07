#!/usr/bin/env bash
# Measures what one entry and one target add to a small request on loopback,
# against calling the stand-in service directly, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
scripts/build.sh
WORK=$(mktemp -d)
trap 'fleet_stop; rm -rf "$WORK"' EXIT
mapfile -t PORTS < <(bin/standin ports --count 8)
LOG_URL=http://${PORTS[0]} HOSTS_URL=http://${PORTS[1]}
echo "{\"hosts\": [{\"name\": \"roster-0\", \"role\": \"target\", \"address\": \"${PORTS[3]}\", \"zone\": \"a\", \"serves\": \"roster-app\"}]}" >"$WORK/hosts.json"
fleet_spawn log bin/standin log --listen "${PORTS[0]}"
fleet_spawn hosts bin/standin hosts --listen "${PORTS[1]}" --file "$WORK/hosts.json" --lag 0s
fleet_spawn roster bin/standin service --listen "${PORTS[2]}" --delay 0s
fleet_wait_http "${PORTS[0]}"
fleet_target roster-0 a service roster-app v1 "${PORTS[3]}" "${PORTS[4]}" "${PORTS[2]}"
ADDRESS_TTL=1s
fleet_entry entry-0 a "${PORTS[5]}" "${PORTS[6]}" "${PORTS[7]}"
for port in "${PORTS[@]}"; do fleet_wait_http "$port"; done
export CAMPHORMILL_LOG=$LOG_URL
cat >"$WORK/fast.jsonc" <<JSON
{"name": "fast", "default": {"requests_per_second": 1e9, "burst": 1e9, "weight": 1}, "rebalance": {"skew_weight": 1, "cost_weight": 1}, "retry_share": 0.1}
JSON
bin/camphormill preset publish "$WORK/fast.jsonc"
bin/camphormill preset activate fast
bin/camphormill preset watch --entry "${PORTS[7]}"
sleep 1.5
for callers in 1 64; do
	echo "== $callers caller(s) side by side"
	bin/millload overhead --direct "http://${PORTS[2]}" --entry "http://${PORTS[5]}" --key key-of-muscat --callers $callers --requests "${REQUESTS:-8000}"
done
for name in entry-0 roster-0; do
	echo "$name: resident memory $(awk '/VmRSS/ {print $2, $3}' "/proc/${PIDS[$name]}/status")"
done

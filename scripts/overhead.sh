#!/usr/bin/env bash
# Measures the overhead of one entry and one target for small requests on loopback, against direct
# calls of the stand-in service in the same run. REQUESTS is the number of requests of each
# measurement of service calls.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
scripts/build.sh
WORK=$(mktemp -d)
trap 'fleet_stop; rm -rf "$WORK"' EXIT
mapfile -t PORTS < <(bin/standin ports --count 11)
LOG_URL=http://${PORTS[0]} HOSTS_URL=http://${PORTS[1]}
hosts="{\"name\": \"brief-0\", \"role\": \"target\", \"address\": \"${PORTS[8]}\", \"zone\": \"a\", \"serves\": \"brief-model\"}"
echo "{\"hosts\": [$hosts, {\"name\": \"roster-0\", \"role\": \"target\", \"address\": \"${PORTS[3]}\", \"zone\": \"a\", \"serves\": \"roster-app\"}]}" >"$WORK/hosts.json"
fleet_spawn log bin/standin log --listen "${PORTS[0]}"
fleet_spawn hosts bin/standin hosts --listen "${PORTS[1]}" --file "$WORK/hosts.json" --lag 0s
fleet_spawn roster bin/standin service --listen "${PORTS[2]}" --delay 0s
fleet_wait_http "${PORTS[0]}"
fleet_spawn engine bin/standin engine --listen "${PORTS[10]}" --step 5ms --per-slot 0s
fleet_target brief-0 a draft brief-model v1 "${PORTS[8]}" "${PORTS[9]}" "${PORTS[10]}"
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
cpu() { # NAME -> milliseconds of processor time
	awk -v hz="$(getconf CLK_TCK)" '{print int(1000 * ($14 + $15) / hz)}' "/proc/${PIDS[$1]}/stat"
}

echo "== 24 drafts side by side, 200 tokens each"
e=$(cpu entry-0) t=$(cpu brief-0)
bin/millload overhead --direct "http://${PORTS[2]}" --entry "http://${PORTS[5]}" --key key-of-muscat --callers 24 --requests 120 --engine "http://${PORTS[10]}"
echo "processor time for 72,000 tokens: entryd $(($(cpu entry-0) - e)) ms, targetd $(($(cpu brief-0) - t)) ms"
for callers in 1 64; do
	e=$(cpu entry-0) t=$(cpu roster-0)
	echo "== $callers caller(s) side by side"
	bin/millload overhead --direct "http://${PORTS[2]}" --entry "http://${PORTS[5]}" --key key-of-muscat --callers $callers --requests "${REQUESTS:-8000}"
	echo "processor time for $((6 * ${REQUESTS:-8000})) requests: entryd $(($(cpu entry-0) - e)) ms, targetd $(($(cpu roster-0) - t)) ms"
done
for name in entry-0 roster-0; do
	echo "$name: resident memory $(awk '/VmRSS/ {print $2, $3}' "/proc/${PIDS[$name]}/status")"
done

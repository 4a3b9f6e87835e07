#!/usr/bin/env bash
# Whole processes under SIGKILL, SIGSTOP, SIGTERM and a log outage: every answer
# must be right, no call may take effect twice, planned stops must end with 0,
# and the configuration must be in force and stay. Bounds are generous.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
scripts/build.sh
WORK=$(mktemp -d)
ADDRESS_TTL=1s
trap 'fleet_stop; rm -rf "$WORK"' EXIT
fleet_start
export CAMPHORMILL_LOG=$LOG_URL
bin/camphormill preset publish examples/majlis/ordinary.jsonc
bin/camphormill preset activate ordinary
bin/camphormill preset watch "${ENTRIES[@]}"
KEYS=()
for pair in "${FLEET_KEYS[@]}"; do KEYS+=(--key "$pair"); done
bin/millload replay "${SEEDS[@]}" "${KEYS[@]}" --effects "$EFFECTS_URL" --allow-unfinished examples/traces/majlis_day.jsonl >"$WORK/report" &
replay=$!

faults() { # URL JSON
	local address=${1#http://}
	exec 3<>"/dev/tcp/${address%:*}/${address##*:}"
	printf 'POST /faults HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' "${#2}" "$2" >&3
	cat <&3 >/dev/null
	exec 3>&-
}

planned_stop() { # NAME
	kill -TERM "${PIDS[$1]}"
	wait "${PIDS[$1]}"
	unset "PIDS[$1]"
	echo "$1 stopped gracefully"
}

sleep 1
echo "== a target daemon is frozen for 3 s"
kill -STOP "${PIDS[roster-0]}"
sleep 3
kill -CONT "${PIDS[roster-0]}"
echo "== the log is down; an entry is killed; planned stops go on"
faults "$LOG_URL" '{"down": true}'
kill -KILL "${PIDS[entry-1]}"
planned_stop brief-1
planned_stop entry-2
if bin/camphormill preset activate genesis --timeout 1s 2>"$WORK/refused"; then
	echo "a change was accepted while the log was down" >&2
	exit 1
fi
cat "$WORK/refused"
faults "$LOG_URL" '{}'
echo "== the log is back"
bin/camphormill preset publish examples/majlis/peak.jsonc
bin/camphormill preset activate peak
bin/camphormill preset watch "${ENTRIES[0]}" "${ENTRIES[1]}" --timeout 10s
status=0
wait "$replay" || status=$?
cat "$WORK/report"
bin/standin history --group "$GROUP_URL" || status=1
exit "$status"

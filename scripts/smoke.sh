#!/usr/bin/env bash
# Runs a fleet of processes under SIGKILL, SIGSTOP, SIGTERM and an outage of the log while a trace is
# replayed. Fails if a response is wrong, a call takes effect twice, a graceful stop exits with
# another code than 0, a configuration is accepted during the outage, one that was activated does
# not come into force, or a step of the group runs under two maps. Time limits are generous.
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

set_faults() { # URL JSON
	local address=${1#http://}
	exec 3<>"/dev/tcp/${address%:*}/${address##*:}"
	printf 'POST /faults HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' "${#2}" "$2" >&3
	cat <&3 >/dev/null
	exec 3>&-
}

graceful_stop() { # NAME
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
echo "== the log is down; an entry is killed; two daemons are stopped gracefully"
set_faults "$LOG_URL" '{"down": true}'
kill -KILL "${PIDS[entry-1]}"
graceful_stop brief-1
graceful_stop entry-2
if bin/camphormill preset activate genesis --timeout 1s 2>"$WORK/refused"; then
	echo "a change was accepted while the log was down" >&2
	exit 1
fi
cat "$WORK/refused"
set_faults "$LOG_URL" '{}'
echo "== the log is back"
bin/camphormill preset publish examples/majlis/peak.jsonc
bin/camphormill preset activate peak
bin/camphormill preset watch "${ENTRIES[0]}" "${ENTRIES[1]}" --timeout 10s
status=0
wait "$replay" || status=$?
cat "$WORK/report"
bin/standin history --group "$GROUP_URL" || status=1
exit "$status"

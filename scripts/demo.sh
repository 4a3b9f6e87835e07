#!/usr/bin/env bash
# Runs the demo: 3 entry daemons, 6 target daemons and their stand-ins as separate processes on
# loopback. Replays a trace of a working day, checks every response, and activates another preset
# halfway. DEMO_KILL=NAME kills the process of that name with SIGKILL halfway, for example entry-1,
# brief-2 or roster-0.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
scripts/build.sh
WORK=$(mktemp -d)
ADDRESS_TTL=1s
trap 'fleet_stop; rm -rf "$WORK"' EXIT

echo "== starting 3 entry and 6 target daemons with their stand-ins"
fleet_start
bin/camphormill preset publish --log "$LOG_URL" examples/majlis/ordinary.jsonc
bin/camphormill preset publish --log "$LOG_URL" examples/majlis/peak.jsonc
bin/camphormill preset activate --log "$LOG_URL" ordinary
bin/camphormill preset watch --log "$LOG_URL" "${ENTRIES[@]}"
sleep 2

echo "== replaying a working day"
KEYS=()
for pair in "${FLEET_KEYS[@]}"; do KEYS+=(--key "$pair"); done
unfinished=()
if [ -n "${DEMO_KILL:-}" ]; then unfinished=(--allow-unfinished); fi
bin/millload replay "${SEEDS[@]}" "${KEYS[@]}" --effects "$EFFECTS_URL" "${unfinished[@]}" \
	examples/traces/majlis_day.jsonl >"$WORK/report" &
replay=$!
sleep 4
if [ -n "${DEMO_KILL:-}" ]; then
	echo "== killing $DEMO_KILL"
	kill -KILL "${PIDS[$DEMO_KILL]}"
fi
echo "== activating the preset peak halfway"
bin/camphormill preset activate --log "$LOG_URL" peak
live=("${ENTRIES[@]}")
bin/camphormill preset watch --log "$LOG_URL" "${live[@]}"
bin/camphormill status "${live[@]}"
status=0
wait "$replay" || status=$?
echo "== outcomes"
cat "$WORK/report"
echo "== steps of the group: under how many maps, how many mixed maps, and the skew of ranks"
bin/standin history --group "$GROUP_URL" || status=1
exit "$status"

#!/usr/bin/env bash
# Measures what idle daemons cost for control, at several fleet sizes, from the
# system's accounts of each process: seconds of processor, resident memory, and
# bytes over the links. SECONDS_MEASURED is the time measured for each point.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
scripts/build.sh
SECONDS_MEASURED=${SECONDS_MEASURED:-10}
TICKS=$(getconf CLK_TCK)

cpu() { # PID -> ticks of processor time
	awk '{print $14 + $15}' "/proc/$1/stat"
}

memory() { # PID -> KiB
	awk '/VmRSS/ {print $2}' "/proc/$1/status"
}

bytes() { # OPERATIONS -> bytes over links, both ways
	exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
	printf 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
	awk '/^camphormill_link_bytes/ {total += $2} END {printf "%d\n", total}' <&3
	exec 3>&-
}

# measure starts a fleet of the size and prints one row: means over the entries
# and over the targets.
measure() { # ENTRIES TARGETS
	WORK=$(mktemp -d)
	PIDS=()
	local entries=$1 targets=$2 i hosts="" sep=""
	mapfile -t PORTS < <(bin/standin ports --count $((3 + 3 * entries + 2 * targets)))
	LOG_URL=http://${PORTS[0]} HOSTS_URL=http://${PORTS[1]}
	fleet_spawn log bin/standin log --listen "${PORTS[0]}"
	fleet_spawn hosts bin/standin hosts --listen "${PORTS[1]}" --file "$WORK/hosts.json" --lag 0s
	fleet_spawn roster bin/standin service --listen "${PORTS[2]}"
	local e=3 t=$((3 + 3 * entries))
	for ((i = 0; i < targets; i++)); do
		hosts+="$sep{\"name\": \"roster-$i\", \"role\": \"target\", \"address\": \"${PORTS[t + 2 * i]}\", \"zone\": \"a\", \"serves\": \"roster-app\"}"
		sep=", "
		fleet_target "roster-$i" a service roster-app v1 "${PORTS[t + 2 * i]}" "${PORTS[t + 2 * i + 1]}" "${PORTS[2]}"
	done
	for ((i = 0; i < entries; i++)); do
		hosts+="$sep{\"name\": \"entry-$i\", \"role\": \"entry\", \"address\": \"${PORTS[e + 3 * i + 1]}\", \"zone\": \"a\"}"
	done
	echo "{\"hosts\": [$hosts]}" >"$WORK/hosts.json"
	fleet_wait_http "${PORTS[0]}"
	for ((i = 0; i < entries; i++)); do
		fleet_entry "entry-$i" a "${PORTS[e + 3 * i]}" "${PORTS[e + 3 * i + 1]}" "${PORTS[e + 3 * i + 2]}"
	done
	for ((i = 0; i < entries; i++)); do fleet_wait_http "${PORTS[e + 3 * i]}"; done
	sleep 6
	local ce=0 ct=0 be=0 bt=0 me=0 mt=0
	sum() { # SIGN
		for ((i = 0; i < entries; i++)); do
			ce=$((ce + $1 * $(cpu "${PIDS[entry-$i]}")))
			be=$((be + $1 * $(bytes "${PORTS[e + 3 * i + 2]}")))
		done
		for ((i = 0; i < targets; i++)); do
			ct=$((ct + $1 * $(cpu "${PIDS[roster-$i]}")))
			bt=$((bt + $1 * $(bytes "${PORTS[t + 2 * i + 1]}")))
		done
	}
	sum -1
	sleep "$SECONDS_MEASURED"
	sum 1
	for ((i = 0; i < entries; i++)); do me=$((me + $(memory "${PIDS[entry-$i]}"))); done
	for ((i = 0; i < targets; i++)); do mt=$((mt + $(memory "${PIDS[roster-$i]}"))); done
	awk -v e="$entries" -v t="$targets" -v ce=$ce -v ct=$ct -v be=$be -v bt=$bt -v me=$me -v mt=$mt -v s="$SECONDS_MEASURED" -v hz="$TICKS" 'BEGIN {
		printf "%7d %7d %13.3f %13.1f %13.0f %13.3f %13.1f %13.0f\n", e, t, 100 * ce / hz / s / e, me / 1024 / e, be / s / e, 100 * ct / hz / s / t, mt / 1024 / t, bt / s / t }'
	kill -KILL "${PIDS[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$WORK"
}

echo "entries targets  entry core %     entry MiB     entry B/s target core %    target MiB    target B/s"
for size in ${SIZES:-4,8 4,32 4,128 10,32 20,32 40,32}; do
	measure ${size/,/ }
done

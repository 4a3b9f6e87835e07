#!/usr/bin/env bash
# Measures the cost of the control traffic of idle daemons at several fleet sizes: processor time
# and resident memory as /proc reports them for each process, and the bytes that the daemons count
# on their links. SECONDS_MEASURED is the time measured for each size; SIZES lists the sizes as
# pairs of entries and targets.
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

# measure starts a fleet of the given size and prints one row: the means over the entries and over
# the targets.
measure() { # ENTRIES TARGETS
	WORK=$(mktemp -d)
	PIDS=()
	local entries=$1 targets=$2 i hosts="" sep=""
	mapfile -t PORTS < <(bin/standin ports --count $((3 + 3 * entries + 2 * targets)))
	LOG_URL=http://${PORTS[0]} HOSTS_URL=http://${PORTS[1]}
	fleet_spawn log bin/standin log --listen "${PORTS[0]}"
	fleet_spawn hosts bin/standin hosts --listen "${PORTS[1]}" --file "$WORK/hosts.json" --lag 0s
	fleet_spawn roster bin/standin service --listen "${PORTS[2]}"
	local first_entry=3 first_target=$((3 + 3 * entries))
	for ((i = 0; i < targets; i++)); do
		hosts+="$sep{\"name\": \"roster-$i\", \"role\": \"target\", \"address\": \"${PORTS[first_target + 2 * i]}\", \"zone\": \"a\", \"serves\": \"roster-app\"}"
		sep=", "
		fleet_target "roster-$i" a service roster-app v1 "${PORTS[first_target + 2 * i]}" "${PORTS[first_target + 2 * i + 1]}" "${PORTS[2]}"
	done
	for ((i = 0; i < entries; i++)); do
		hosts+="$sep{\"name\": \"entry-$i\", \"role\": \"entry\", \"address\": \"${PORTS[first_entry + 3 * i + 1]}\", \"zone\": \"a\"}"
	done
	echo "{\"hosts\": [$hosts]}" >"$WORK/hosts.json"
	fleet_wait_http "${PORTS[0]}"
	for ((i = 0; i < entries; i++)); do
		fleet_entry "entry-$i" a "${PORTS[first_entry + 3 * i]}" "${PORTS[first_entry + 3 * i + 1]}" "${PORTS[first_entry + 3 * i + 2]}"
	done
	for ((i = 0; i < entries; i++)); do fleet_wait_http "${PORTS[first_entry + 3 * i]}"; done
	sleep 6
	local entry_cpu=0 target_cpu=0 entry_bytes=0 target_bytes=0 entry_memory=0 target_memory=0
	add_counters() { # SIGN
		for ((i = 0; i < entries; i++)); do
			entry_cpu=$((entry_cpu + $1 * $(cpu "${PIDS[entry-$i]}")))
			entry_bytes=$((entry_bytes + $1 * $(bytes "${PORTS[first_entry + 3 * i + 2]}")))
		done
		for ((i = 0; i < targets; i++)); do
			target_cpu=$((target_cpu + $1 * $(cpu "${PIDS[roster-$i]}")))
			target_bytes=$((target_bytes + $1 * $(bytes "${PORTS[first_target + 2 * i + 1]}")))
		done
	}
	add_counters -1
	sleep "$SECONDS_MEASURED"
	add_counters 1
	for ((i = 0; i < entries; i++)); do entry_memory=$((entry_memory + $(memory "${PIDS[entry-$i]}"))); done
	for ((i = 0; i < targets; i++)); do target_memory=$((target_memory + $(memory "${PIDS[roster-$i]}"))); done
	awk -v e="$entries" -v t="$targets" -v ec=$entry_cpu -v tc=$target_cpu -v eb=$entry_bytes -v tb=$target_bytes -v em=$entry_memory -v tm=$target_memory -v s="$SECONDS_MEASURED" -v hz="$TICKS" 'BEGIN {
		printf "%7d %7d %13.3f %13.1f %13.0f %13.3f %13.1f %13.0f\n", e, t, 100 * ec / hz / s / e, em / 1024 / e, eb / s / e, 100 * tc / hz / s / t, tm / 1024 / t, tb / s / t }'
	kill -KILL "${PIDS[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$WORK"
}

echo "entries targets  entry core %     entry MiB     entry B/s target core %    target MiB    target B/s"
for size in ${SIZES:-4,8 4,32 4,128 10,32 20,32 40,32}; do
	measure ${size/,/ }
done

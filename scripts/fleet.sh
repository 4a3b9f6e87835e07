#!/usr/bin/env bash
# Functions that start a small fleet of separate processes on loopback; other scripts source this
# file. The functions set LOG_URL, HOSTS_URL, GROUP_URL, EFFECTS_URL, PORTS, ENTRIES (flags with the
# operations addresses of the entries), SEEDS (flags with the entries' URLs for callers) and PIDS
# (process ids by name). The sourcing script sets WORK, the folder for settings and logs, and may set
# ADDRESS_TTL (2s if unset), for which callers may cache addresses, and HOST_LAG (1s if unset), by
# which the host list lags.

declare -A PIDS
FLEET_KEYS=(muscat=key-of-muscat nizwa=key-of-nizwa sohar=key-of-sohar salalah=key-of-salalah)
FLEET_SECRET=$(printf 'only-for-the-demo-on-loopback' | base64)

fleet_spawn() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >"$WORK/$name.log" 2>&1 &
	PIDS[$name]=$!
}

# fleet_wait_http waits until a connection to the address (host:port) can be opened. It sends no
# request. It fails after 100 attempts.
fleet_wait_http() { # URL
	for _ in $(seq 100); do
		if (exec 3<>"/dev/tcp/${1%:*}/${1##*:}") 2>/dev/null; then return 0; fi
		sleep 0.05
	done
	echo "nothing answers at $1; the last lines of the logs:" >&2
	tail -n 3 "$WORK"/*.log >&2
	return 1
}

fleet_organisations() {
	local pair sum sep=""
	for pair in "${FLEET_KEYS[@]}"; do
		sum=$(printf %s "${pair#*=}" | sha256sum | cut -d' ' -f1)
		printf '%s{"name": "%s", "key_sha256": "%s"}' "$sep" "${pair%%=*}" "$sum"
		sep=", "
	done
}

fleet_target() { # NAME ZONE KIND SERVES VERSION LINK OPERATIONS BACKEND [GROUP-SETTINGS]
	local group=""
	if [ -n "${9:-}" ]; then group=", \"group\": $9"; fi
	cat >"$WORK/$1.jsonc" <<-JSON
		{"name": "$1", "zone": "$2", "kind": "$3", "serves": "$4", "version": "$5",
		 "link": "$6", "operations": "$7", "backend": "http://$8", "capacity": 24,
		 "reservation_keys": ["$FLEET_SECRET"]$group}
	JSON
	fleet_spawn "$1" bin/targetd run --settings "$WORK/$1.jsonc"
}

# fleet_group prints the group settings of one rank of the group of four ranks.
fleet_group() { # RANK
	local members="" sep="" i
	for i in 0 1 2 3; do
		members+="$sep{\"rank\": $i, \"link\": \"${PORTS[7 + i]}\"}"
		sep=", "
	done
	printf '{"name": "brief", "platform_log": "%s", "engine": "%s", "ranks": [%s], "members": [%s], "window": 32, "slots": 5, "expert_gib": 0.04, "lease_timeout": "2s", "poll": "20ms", "plan_every": "1s"}' \
		"$LOG_URL" "$GROUP_URL" "$1" "$members"
}

fleet_entry() { # NAME ZONE CALLERS LINK OPERATIONS
	cat >"$WORK/$1.jsonc" <<-JSON
		{"name": "$1", "zone": "$2", "callers": "$3", "public_url": "http://$3", "link": "$4", "operations": "$5",
		 "platform_log": "$LOG_URL", "platform_hosts": "$HOSTS_URL", "address_ttl": "${ADDRESS_TTL:-2s}",
		 "reservation_keys": ["$FLEET_SECRET"], "organisations": [$(fleet_organisations)]}
	JSON
	fleet_spawn "$1" bin/entryd run --settings "$WORK/$1.jsonc"
}

# fleet_start starts the stand-ins, 6 targets (4 of brief-model in two versions, 2 of roster-app)
# and 3 entries, and returns when all of them accept connections. Each target of brief-model
# holds one rank of a group that runs in lock-step.
fleet_start() {
	mapfile -t PORTS < <(bin/standin ports --count 29)
	LOG_URL=http://${PORTS[0]} HOSTS_URL=http://${PORTS[1]} EFFECTS_URL=http://${PORTS[2]}
	local hosts="" sep="" i version zone
	fleet_spawn log bin/standin log --listen "${PORTS[0]}"
	fleet_spawn hosts bin/standin hosts --listen "${PORTS[1]}" --file "$WORK/hosts.json" --lag "${HOST_LAG:-1s}"
	fleet_spawn roster bin/standin service --listen "${PORTS[2]}"
	GROUP_URL=http://${PORTS[28]}
	fleet_spawn group bin/standin group --listen "${PORTS[28]}" --log "$LOG_URL"
	for i in 0 1 2 3; do
		version=v$((i % 2 + 1)) zone=om-north-$(printf 'abca' | cut -c$((i + 1)))
		fleet_spawn "engine-$i" bin/standin engine --listen "${PORTS[3 + i]}" --model-version "$version"
		fleet_target "brief-$i" "$zone" draft brief-model "$version" "${PORTS[7 + i]}" "${PORTS[11 + i]}" "${PORTS[3 + i]}" "$(fleet_group "$i")"
		hosts+="$sep{\"name\": \"brief-$i\", \"role\": \"target\", \"address\": \"${PORTS[7 + i]}\", \"zone\": \"$zone\", \"serves\": \"brief-model\"}"
		sep=", "
	done
	for i in 0 1; do
		zone=om-north-$(printf 'ab' | cut -c$((i + 1)))
		fleet_target "roster-$i" "$zone" service roster-app v1 "${PORTS[15 + i]}" "${PORTS[17 + i]}" "${PORTS[2]}"
		hosts+="$sep{\"name\": \"roster-$i\", \"role\": \"target\", \"address\": \"${PORTS[15 + i]}\", \"zone\": \"$zone\", \"serves\": \"roster-app\"}"
	done
	SEEDS=() ENTRIES=()
	for i in 0 1 2; do
		zone=om-north-$(printf 'abc' | cut -c$((i + 1)))
		hosts+="$sep{\"name\": \"entry-$i\", \"role\": \"entry\", \"address\": \"${PORTS[22 + i]}\", \"zone\": \"$zone\"}"
		SEEDS+=(--seed-address "http://${PORTS[19 + i]}")
		ENTRIES+=(--entry "${PORTS[25 + i]}")
	done
	echo "{\"hosts\": [$hosts]}" >"$WORK/hosts.json"
	fleet_wait_http "${PORTS[0]}"
	for i in 0 1 2; do
		fleet_entry "entry-$i" "om-north-$(printf 'abc' | cut -c$((i + 1)))" "${PORTS[19 + i]}" "${PORTS[22 + i]}" "${PORTS[25 + i]}"
	done
	for i in "${PORTS[@]}"; do fleet_wait_http "$i"; done
}

fleet_stop() {
	kill "${PIDS[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
}

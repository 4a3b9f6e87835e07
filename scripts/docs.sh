#!/usr/bin/env bash
# Runs the commands that the docs name in <!-- run: ... --> and replaces the output below each
# command. With --check it changes no file and fails if the output differs in more than numbers,
# times, addresses and tokens.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
scripts/build.sh
WORK=$(mktemp -d)
trap 'fleet_stop; rm -rf "$WORK"' EXIT
fleet_start
export CAMPHORMILL_LOG=$LOG_URL CAMPHORMILL_ENTRIES=${ENTRIES[1]}
export ENTRY=${SEEDS[1]} KEY=key-of-muscat PATH=$PWD/bin:$PATH WORK
bin/camphormill preset publish examples/majlis/ordinary.jsonc >/dev/null
bin/camphormill preset activate ordinary >/dev/null
bin/camphormill preset watch >/dev/null
# Wait up to 20 s until every entry lists all entries and is connected to all targets.
for _ in $(seq 100); do
	listed=$(curl -s "$ENTRY/v1/addresses" | grep -o '"url"' | wc -l || true)
	linked=$(bin/camphormill status | awk '$5 == 6' | wc -l || true)
	if [ "$listed" = 3 ] && [ "$linked" = 3 ]; then break; fi
	sleep 0.2
done

refresh_output() { # FILE -> its text with fresh output
	local line command skipping=0
	while IFS= read -r line || [ -n "$line" ]; do
		if [ "$skipping" = 1 ]; then # an older output follows the command
			if [ "$line" = '```console' ]; then
				skipping=2
				continue
			fi
			skipping=0
		fi
		if [ "$skipping" = 2 ]; then
			if [ "$line" = '```' ]; then skipping=0; fi
			continue
		fi
		printf '%s\n' "$line"
		case $line in
		'<!-- run: '*' -->')
			command=${line#'<!-- run: '}
			command=${command%' -->'}
			printf '```console\n$ %s\n' "$command"
			bash -c "$command" 2>&1 | sed -e "s#$ENTRY#http://127.0.0.1:7001#g; s#$LOG_URL#http://127.0.0.1:7100#g; s#127.0.0.1:[0-9]*#127.0.0.1:7001#g; s#$WORK#WORK#g" -e '$a\' | tr -d '\r'
			printf '```\n'
			skipping=1
			;;
		esac
	done <"$1"
}

normalise() { # keeps words, drops what differs from run to run
	sed -E 's/eyJ[A-Za-z0-9_.-]+/TOKEN/g; s/[0-9]+(\.[0-9]+)?/N/g; s/N-N-NTN:N:N(Z|\+N:N)?/TIME/g; s/ +/ /g' "$1"
}

status=0
for file in docs/CALLERS.md docs/OPERATORS.md docs/OPERATIONS.md; do
	refresh_output "$file" >"$WORK/fresh"
	if [ "${1:-}" = --check ]; then
		if ! diff <(normalise "$file") <(normalise "$WORK/fresh"); then
			echo "$file differs from what its commands print; run scripts/docs.sh" >&2
			status=1
		fi
	else
		cp "$WORK/fresh" "$file"
	fi
done
exit "$status"

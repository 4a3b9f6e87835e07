#!/usr/bin/env bash
# Runs the tests of every module, then those of proofs/crowd by themselves, then scripts/smoke.sh and
# scripts/soak.sh, which run processes under faults. SCHEDULES is the number of seeded schedules that each proof runs. Arguments are
# passed to go test. Tests that KNOWN-RED.txt lists are printed and left out.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
	known=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
	if [ -n "$known" ]; then
		echo "known to fail, left out (KNOWN-RED.txt): ${known//|/ }"
		skip=(-skip "^($known)\$")
	fi
fi
go test "${skip[@]}" "$@" ./parts/... ./entryd/... ./targetd/... ./camphormill/... ./standin/... ./millload/... ./platform/... ./proofs/...
go test -tags crowd -count 1 -p 1 -parallel 1 -timeout 300s "${skip[@]}" "$@" ./proofs/crowd/
bash scripts/smoke.sh
bash scripts/soak.sh

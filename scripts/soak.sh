#!/usr/bin/env bash
# Runs the daemons of platform/ as processes under random faults for a few seeds, then once for every
# seed of scripts/soak-seeds.txt, which lists the seeds that failed before. SEED is the first seed,
# SEEDS their number, FOR the time of each of these runs; the runs of soak-seeds.txt take 10 s each.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
bin/millload soak --program bin/platform --seed "${SEED:-1}" --seeds "${SEEDS:-2}" --for "${FOR:-6s}"
while read -r seed _; do
	case $seed in '' | '#'*) continue ;; esac
	bin/millload soak --program bin/platform --seed "$seed" --for 10s
done <scripts/soak-seeds.txt

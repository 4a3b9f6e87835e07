#!/usr/bin/env bash
# A short seeded run of the platform's daemons as processes under random faults, and
# every seed that ever broke a promise: one a line in scripts/soak-seeds.txt. SEEDS and
# FOR make it longer.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
bin/millload soak --program bin/platform --seed "${SEED:-1}" --seeds "${SEEDS:-2}" --for "${FOR:-6s}"
while read -r seed _; do
	case $seed in '' | '#'*) continue ;; esac
	bin/millload soak --program bin/platform --seed "$seed" --for 10s
done <scripts/soak-seeds.txt

#!/usr/bin/env bash
# Runs every module's tests. SCHEDULES raises how many seeded schedules each
# proof runs. At the end whole processes run under faults: see scripts/smoke.sh
# and scripts/soak.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
go test "$@" ./parts/... ./entryd/... ./targetd/... ./camphormill/... ./standin/... ./millload/... ./platform/... ./proofs/...
bash scripts/smoke.sh
bash scripts/soak.sh

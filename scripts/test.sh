#!/usr/bin/env bash
# Runs the tests of every module, then scripts/smoke.sh and scripts/soak.sh, which run processes
# under faults. SCHEDULES is the number of seeded schedules that each proof runs. Arguments are
# passed to go test.
set -euo pipefail
cd "$(dirname "$0")/.."
go test "$@" ./parts/... ./entryd/... ./targetd/... ./camphormill/... ./standin/... ./millload/... ./platform/... ./proofs/...
bash scripts/smoke.sh
bash scripts/soak.sh

#!/usr/bin/env bash
# Runs every module's tests. SCHEDULES raises how many seeded schedules each
# proof runs.
set -euo pipefail
cd "$(dirname "$0")/.."
go test "$@" ./parts/... ./entryd/... ./targetd/... ./camphormill/... ./standin/... ./millload/... ./proofs/...

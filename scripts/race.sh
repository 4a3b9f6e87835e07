#!/usr/bin/env bash
# Runs the tests of the packages that daemons share between goroutines with the race
# detector, which needs a C compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -race "$@" ./parts/mesh/... ./parts/exchange/... ./parts/daemon/... ./parts/kernel/... \
	./entryd/relay/... ./entryd/bulletin/... ./entryd/front/... ./targetd/ranks/...

#!/usr/bin/env bash
# Runs the tests of the packages whose state several goroutines share, with the race detector,
# which needs a C compiler. Arguments are passed to go test.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -race "$@" ./parts/mesh/... ./parts/httpclient/... ./parts/daemon/... ./parts/kernel/... \
	./entryd/relay/... ./entryd/storeview/... ./entryd/frontend/... ./targetd/rankagent/...

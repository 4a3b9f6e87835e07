#!/usr/bin/env bash
# Builds all programs of the workspace into bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./camphormill ./entryd ./millload ./platform ./standin ./targetd

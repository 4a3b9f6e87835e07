#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review into target/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standins-2 && GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-standins .)

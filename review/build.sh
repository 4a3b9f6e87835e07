#!/usr/bin/env bash
# Builds the program that plays the platform, the targets and the callers of the scripted cases, and
# starts the daemons. The daemons come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/driver"
mkdir -p ../bin
GOWORK=off go build -o ../bin/driver .

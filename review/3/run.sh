#!/usr/bin/env bash
# Shows the case of claim.txt with processes on loopback. TROUBLE=0 leaves the SIGTERM out.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/driver planned-stop target/camphormill-platform review/3/record.txt

#!/usr/bin/env bash
# Shows the case of claim.txt with processes on loopback. TROUBLE=0 leaves the faults of the servers out.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/driver failed-resume target/camphormill-platform review/2/record.txt

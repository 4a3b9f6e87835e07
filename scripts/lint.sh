#!/usr/bin/env bash
# Checks the format of the code and runs go vet and staticcheck on all modules, with the tool
# versions that tools/go.mod pins. The tag crowd adds the tests of proofs/crowd.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
(cd tools && GOWORK=off go build -o ../bin/ tool)
unformatted=$(bin/gofumpt -l camphormill entryd millload parts platform proofs standin targetd)
unordered=$(bin/goimports -local camphormill.dev -l camphormill entryd millload parts platform proofs standin targetd)
if [ -n "$unformatted$unordered" ]; then
	echo "not formatted; run bin/gofumpt -w and bin/goimports -local camphormill.dev -w on:" >&2
	echo "$unformatted" "$unordered" >&2
	exit 1
fi
for module in camphormill entryd millload parts platform proofs standin targetd; do
	(cd "$module" && go vet -tags crowd ./... && ../bin/staticcheck -tags crowd -checks all ./...)
done

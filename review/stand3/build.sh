#!/usr/bin/env bash
# Builds the stand-ins of this folder to target/standin-3. They need the standard library alone. Their
# sources are no Go files for the checks of the project, because they speak the platform's protocol.
set -euo pipefail
cd "$(dirname "$0")"
target=$(cd ../.. && pwd)/target
mkdir -p "$target"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for f in *.go.txt; do cp "$f" "$work/${f%.txt}"; done
printf 'module standin\n\ngo 1.26\n' > "$work/go.mod"
cd "$work"
go build -o "$target/standin-3" .

#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. Its sources are kept as text files,
# since the words of the platform's protocol are only allowed in Go files of the adapter. It uses
# the standard library only.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
for f in "$root"/review/stand/*.go.txt; do
  cp "$f" "$dir/$(basename "${f%.txt}")"
done
printf 'module stand\n\ngo 1.26\n' >"$dir/go.mod"
mkdir -p "$root/target"
cd "$dir"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o "$root/target/stand" .

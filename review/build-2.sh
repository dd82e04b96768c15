#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
review/stand3/build.sh

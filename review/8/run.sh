#!/usr/bin/env bash
# Shows that a start which is carried out late runs beside the next run of its task. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gypsumnode ] && [ -x target/standin-3 ] || { echo "run fleetbench build and review/build-2.sh first"; exit 2; }
exec target/standin-3 late-start target/gypsumnode review/8/record.txt

#!/usr/bin/env bash
# Plays case 8 on loopback addresses. It needs the build of the deploy file and review/build-2.sh.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/gypsumnode target/standin-3; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/standin-3 anonymous target/gypsumnode review/8/record.txt

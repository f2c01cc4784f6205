#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/barleystep-router target/review2/rig; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec timeout 119 target/review2/rig stuck review/7

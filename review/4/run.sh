#!/bin/sh
# Plays the case of claim.txt. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. The stand-in starts the project's programs and ends them by their ids.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in bin/piernotch review/bin/standin; do
  [ -x "$program" ] || { echo "$program is missing: run the deploy file's build and review/build.sh"; exit 2; }
done
exec review/bin/standin crowd "$here/record.txt"

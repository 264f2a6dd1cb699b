#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 there is no disruption. Build before: the deploy file's build, then
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin exit-race review/5/record.txt

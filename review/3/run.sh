#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
case=target/review/case-3
[ -x "$case" ] || { echo "run review/build.sh first"; exit 2; }
exec "$case"

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/flaxfront ] && [ -x review/bin/case-3 ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec review/bin/case-3

#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
[ -x bin/flaxfront ] && [ -x "bin/review/$(basename "$case")" ] || exit 2
TROUBLE=${TROUBLE:-1} exec "bin/review/$(basename "$case")" "$case"

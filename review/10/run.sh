#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/10
[ -x "$program" ] || { echo "not built: review/build-2.sh"; exit 2; }
exec "$program"

#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. Build the project and build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] || exit 2
exec target/review-2/review-2 suspended-machine review/6

#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves out the
# disruption. Writes record.txt beside this file; all that it starts ends with it.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 110 review/bin/cases lost-starts review/3/record.txt &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null # only left over if the stand-in itself has crashed
[ "$code" -le 1 ] || code=2
exit "$code"

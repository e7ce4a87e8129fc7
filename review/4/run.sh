#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves out the
# disruption. All that it starts ends with it.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 2 110 review/bin/cases spread-gangs review/4/record.txt

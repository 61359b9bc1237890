#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. The program starts the routers as processes of their own and ends them.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/almondmilld ] && [ -x target/review-2/case-10 ] || exit 2
exec timeout --kill-after=5 115 target/review-2/case-10 review/10/record.txt

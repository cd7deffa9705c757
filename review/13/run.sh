#!/bin/sh
# Machines start again while their seeds are gone; an engine names its limit.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin ] && [ -x target/release/bronzevaled ] || exit 2
target/review-3/standin seeds review/13
result=$?
[ $result -le 1 ] || exit 2
exit $result

#!/bin/sh
# A part of prompts crashes the engines, whose answers have no length.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin ] && [ -x target/release/bronzevaled ] || exit 2
target/review-3/standin poison review/14
result=$?
[ $result -le 1 ] || exit 2
exit $result

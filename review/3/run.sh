#!/bin/sh
# Exit code: 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the cut.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/release/bronzevaled ] && [ -x target/review/case3 ] || exit 2
settings=$(mktemp -d) || exit 2
target/review/case3 "$settings" "$folder/record.txt"
code=$?
rm -rf "$settings"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac

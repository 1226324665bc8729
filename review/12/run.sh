#!/bin/sh
# Case 12: open connections to the store go silent before the order of a bad version. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 runs it without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-3/standins ] || exit 2
exec target/review-3/standins silent-order "$here"

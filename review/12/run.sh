#!/bin/sh
# Case 12: an answer of the store with the order of a bad version is lost. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 runs it without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-3/standins ] || exit 2
exec target/review-3/standins lost-order "$here"

#!/bin/sh
# Case 14: a replica breaks off answers that have no length. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 runs it without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-3/standins ] || exit 2
exec target/review-3/standins broken-off "$here"

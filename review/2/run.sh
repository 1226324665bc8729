#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/rollback_override
[ -x "$program" ] && [ -x target/release/eelgrassramp-direct-entry ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
"$program" review/2
status=$?
rm -rf "$TMPDIR"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac

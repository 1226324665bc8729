#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/eelgrassramp-direct-entry
standins=target/review-2/standins
if [ ! -x "$program" ] || [ ! -x "$standins" ]; then
    echo "build first: the command of deploy/system.toml, then review/build-2.sh"
    exit 2
fi
# A process group of its own, so that a run that is broken off leaves no process behind.
set -m
"$standins" next-order "$program" review/10 "${TROUBLE:-1}" &
trap 'kill -KILL -- -$!; exit 2' INT TERM
wait $!

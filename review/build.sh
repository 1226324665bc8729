#!/bin/sh
# Builds the stand-ins of the cases, the project's own among them, without a network.
cd "$(dirname "$0")/standins" || exit 2
exec cargo build --release --locked --offline --target-dir ../../target/review

#!/bin/sh
# Builds the stand-ins of the third review from the standard library alone, without a network. The program
# itself is built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/main.rs

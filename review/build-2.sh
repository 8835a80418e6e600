#!/bin/sh
# Builds what the scripts of the second review start beside the program of the deploy file: the program of each case, which
# contains its stand-ins, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/main.rs" ] || continue
    rustc --edition 2021 -O -D warnings -A dead_code -o "target/review-2/$number" "review/$number/main.rs"
done

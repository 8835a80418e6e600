#!/usr/bin/env bash
# All checks: format, lints, tests, the release build, documentation, and the module's size and line width.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --check
cargo clippy --locked --all-targets -- -D warnings
cargo test --locked
cargo build --release --locked
RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet
lines=$(grep -cve '^[[:space:]]*$' src/balancer.rs)
longest=$(awk '{ if (length($0) > most) most = length($0) } END { print most }' src/balancer.rs)
echo "src/balancer.rs: $lines lines that are not blank (900 at most), the longest of $longest characters (110 at most)"
# More than the simulator needs: outcomes and departures that only real sockets have take lines of their own.
[ "$lines" -le 900 ] && [ "$longest" -le 110 ]

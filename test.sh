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
echo "src/balancer.rs: $lines lines that are not blank (850 at most), the longest of $longest characters (110 at most)"
[ "$lines" -le 850 ] && [ "$longest" -le 110 ]

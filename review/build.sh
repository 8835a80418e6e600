#!/usr/bin/env bash
# Builds the stand-ins of the review cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*; do
    rustc --edition 2024 -O -o "target/review/case-${folder##*/}" "$folder/main.rs"
done

#!/bin/bash
# Builds the stand-ins of the cases. Needs rustc and no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review/case-$number" "$source"
done

#!/bin/sh
# Builds the stand-ins of the second review (cases 5 to 8). They use the standard library only. The programs
# under test are built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/stand-ins-2/main.rs

#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: one program of the standard library alone, so nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/rig.rs

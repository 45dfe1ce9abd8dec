#!/bin/sh
# Builds the program that plays the cases of the second independent review: its clients, servers and platform.
# It needs nothing but the Rust toolchain, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standins-2/tests/main.rs

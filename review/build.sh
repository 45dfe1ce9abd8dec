#!/bin/sh
# Builds the scripts' programs, each with all its stand-ins, without a network and beside the project's own build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in resume_race stale_check late_write spoilt_list; do
  [ -f "review/tests/$name.rs" ] || continue
  rustc --edition 2024 -O "review/tests/$name.rs" -o "target/review/$name"
done

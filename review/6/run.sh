#!/bin/sh
# Plays the case once, after `cargo build --release --locked` and `review/build-2.sh`. With `TROUBLE=0` it plays it
# without the disruption. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/release/filbertstack ] && [ -x target/review-2/cases ] || exit 2
exec target/review-2/cases parts "$folder"

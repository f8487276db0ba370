#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the project's own programs, with rustc and its standard
# library alone. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    rustc --edition 2021 -O --crate-name "case_$number" -o "target/review-2/case-$number" "review/$number/case.rs"
done

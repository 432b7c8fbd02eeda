#!/bin/sh
# Builds the stand-ins of the cases 6 to 8. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in stop_at_work replaced_core first_start; do
    [ -f "review/standins-2/$name.rs" ] || continue
    rustc --edition 2021 -O -A dead_code --crate-name "$name" \
        -o "target/review-2/$name" "review/standins-2/$name.rs"
done

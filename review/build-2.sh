#!/bin/bash
# Builds the programs of the cases 6 to 10: consumers, servers and the platform's store are in them.
# They need the standard library only. Run it in the repository, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.rs" ]; then
        rustc --edition 2024 -O -o "target/review-2/case$number" "review/$number/case.rs"
    fi
done

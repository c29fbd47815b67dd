#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-harness review/harness/main.rs

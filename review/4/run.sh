#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/review-harness ] && [ -x target/release/goldcrestvale ] || {
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
}
exec target/review/review-harness foreign "$folder"

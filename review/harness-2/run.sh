#!/bin/bash
# Runs the program of a case: harness-2/run.sh NUMBER. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case$1
[ -x "$program" ] && [ -x target/release/goldcrestvale ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
cleanup() {
    # Only processes of this run: their ids stand in its folder.
    while read -r process; do
        [ "$(readlink "/proc/$process/exe")" = "$PWD/target/release/goldcrestvale" ] && kill -9 "$process"
    done 2> /dev/null < "$folder/processes"
    rm -rf "$folder"
}
trap cleanup EXIT
timeout 110 "$program" "$folder" "review/$1/record.txt"
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || code=2
exit $code

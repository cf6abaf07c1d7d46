#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
case_name=case-halves
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review/release/$case_name"
for needed in "$root/target/release/quartzdrift" "$program"; do
    if [ ! -x "$needed" ]; then
        echo "$needed is missing: run the build of deploy/balancer.toml, then review/build.sh" >&2
        exit 2
    fi
done
scratch=$(mktemp -d) || exit 2
# The program ends the scheduler itself; this is for the case that it could not.
clean_up() {
    for file in "$scratch"/*.pid; do
        [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$scratch"
}
trap clean_up EXIT
REVIEW_ROOT=$root REVIEW_SCRATCH=$scratch REVIEW_RECORD=$here/record.txt timeout --kill-after=3 110 "$program"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac

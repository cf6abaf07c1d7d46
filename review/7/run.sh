#!/bin/sh
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/balancer.toml and review/build-2.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
. "$folder/../standins-2/run-case.sh"
run_case "$folder" flood_close

#!/bin/sh
# Plays the case and writes record.txt beside this script. Exit code: 0 the rule held, 1 it was broken, 2 the case
# could not run. TROUBLE=0 leaves out the disruption. claim.txt says what is played.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x bin/review-2 ] && [ -x bin/balancer ] || {
    echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
}
exec bin/review-2 late-end "$here"

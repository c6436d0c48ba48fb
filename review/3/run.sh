#!/bin/sh
# Runs the case against bin/balancer, after the build of the deploy file and review/build.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/bin/review-standin" ] && [ -x "$root/bin/balancer" ] || { echo "not built" >&2; exit 2; }
exec "$root/bin/review-standin" long-answer "$root" "$folder"

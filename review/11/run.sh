#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays
# it without the disruption. Takes about 30 s.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/hibiscuscove ] && [ -x target/review-3/standin3 ] || { echo "build first: deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
exec timeout -k 5 100 target/review-3/standin3 -case versions -record "$here/record.txt"

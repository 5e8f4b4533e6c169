#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=../..
[ -x "$root/target/hibiscuscove" ] && [ -x "$root/target/review-lab2" ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec "$root/target/review-lab2" -case version-named-in-the-dark -root "$root" -record record.txt -trouble=$trouble

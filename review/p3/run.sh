#!/bin/sh
# Plays the case once. The exit code is 1 if the rule was broken, 0 if it held and 2 if the
# case could not run. TROUBLE=0 leaves the change of the settings out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec target/review-kit bounds "$folder"

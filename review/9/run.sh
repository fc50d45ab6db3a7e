#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/wagtailleverd target/review-2/rig; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/rig foreign-entry review/9/record.txt

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/order_after_leave
[ -x "$program" ] && [ -x target/router/walnutwing-router ] || exit 2
timeout 115 "$program" review/15/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/runtime/bin/java ] && [ -f target/review/HeldOrders.class ] || exit 2
exec target/runtime/bin/java -cp target/review HeldOrders review/2

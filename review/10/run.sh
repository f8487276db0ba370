#!/bin/sh
# Exit code: 1 where the rule was broken, 0 where it held, 2 where the case could not run. TROUBLE=0: without the disruption.
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
DRIVER="$ROOT/target/review-2/case-$(basename "$CASE")"
export CASE ROOT
if [ ! -x "$DRIVER" ] || [ ! -x "$ROOT/target/release/laurelroute" ]; then
    echo "exit 2: build first: the deploy file's build, then review/build-2.sh"
    exit 2
fi
cd "$ROOT" || exit 2
exec "$DRIVER"

#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/case1 ] && [ -x target/release/verbenahinge ] || exit 2
case "${TROUBLE:-1}" in
    0) disruption=without ;;
    *) disruption=with ;;
esac
exec target/review/case1 "$folder/record.txt" "$disruption"

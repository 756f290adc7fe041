#!/usr/bin/env bash
# Starts a stand-in program of review/bin in the root of the repository, with
# the case's record.txt. Exits with its code: 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
program=$1
record=$2
cd "$(dirname "$record")/../.."
rm -f "$record"
[ -x target/sorrelbayd ] && [ -x "review/bin/$program" ] || { echo "not built" >&2; exit 2; }
timeout -k 2 115 "review/bin/$program" "$record"
code=$?
[ $code -le 1 ] || exit 2
exit $code

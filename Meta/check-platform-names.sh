#!/usr/bin/env bash
# None of the platform's names stands outside platform/ and its tests: code that
# knows them would have to change whenever the platform does.
set -euo pipefail
names='Attempt-Id|Api-Key|Server-Signature|Duty-Holder|Fencing-Token|Prefix-Hash|Token-Usage|Expect-Instance|Kv-From|Kv-Hold|Not-Executed|Server-Leaving|Server-Limit|Server-Brittle|Server-Load|Request-Priority|"Deadline-Ms|/-/objects|/-/resolve|/-/readyz|SORRELBAY_SETTINGS|PathPrefix"|MaxConns|ItlTargetMs'
if git grep -nE "$names" -- '*.h' '*.cpp' ':!platform' ':!Tests/platform'; then
  echo "lint: the platform's names stand outside platform/"
  exit 1
fi
lines=$(cat platform/*.cpp platform/*.h | wc -l)
if [ "$lines" -gt 1500 ]; then
  echo "lint: platform/ has $lines lines; something in it decides"
  exit 1
fi
echo "lint: the platform's names stay in platform/ ($lines lines)"

#!/usr/bin/env bash
# Runs clang-tidy over every source file, in parallel. Needs a finished build:
# a file is passed over when it and the project headers that it was built with
# have the same text as when it was last found clean.
set -euo pipefail
export build=$1
export stamps="$build/tidy"
export depends="$build/tidy.deps"
mkdir -p "$stamps"
# One line an object file: the object, then our own files that it depends on.
ninja -C "$build" -t deps | awk -v root="$PWD/" -v build="$build" '
  /^[^ ].*: #deps/ { printf "%s%s", (n++ ? "\n" : ""), $1; next }
  NF { path = $1; sub(/^\.\.\//, "", path); sub("^" root, "", path)
       if (path ~ /^(Libraries|Services|Utilities|Tests|platform)\//) printf " %s", path }
  END { print "" }' >"$depends"

check_one() {
  local file=$1
  local key
  key=$( (cat .clang-tidy; echo "$file"; grep -F " $file" "$depends" | head -1 | tr ' ' '\n' | tail -n +2 | sort -u | xargs -r cat; cat "$file") | sha256sum | cut -c1-40)
  [ -e "$stamps/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$file" >"$stamps/$key.log" 2>/dev/null; then
    mv "$stamps/$key.log" "$stamps/$key"
  else
    cat "$stamps/$key.log"
    return 1
  fi
}
export -f check_one
git ls-files --cached --others --exclude-standard '*.cpp' | while read -r f; do [ -e "$f" ] && echo "$f"; done |
  xargs -P "$(nproc)" -I{} bash -c 'check_one {}' || { echo "lint: clang-tidy found faults"; exit 1; }
echo "lint: clang-tidy is clean"

#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node without dependencies. This only checks that each of them parses,
# and that the bundle of the deploy file exists.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]*/run.mjs; do node --check "$file"; done
test -f ../target/eelgrassfront.mjs

#!/bin/sh
# Checks the stand-ins and the cases 6 to 10. They are plain modules that need no compiler and no package.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
  node --check "$file"
done
test -f ../target/eelgrassfront.mjs || {
  echo "build target/eelgrassfront.mjs first, with the build of deploy/system.toml" >&2
  exit 1
}

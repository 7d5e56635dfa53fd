#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of cases 11 to 15 start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b stand-ins/platform_store stand-ins/platform_worker \
  stand-ins/child_process stand-ins/loopback_server

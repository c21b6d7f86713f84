#!/usr/bin/env bash
# Bundles the script of each case, with the stand-ins that it starts, into review/target/.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/build.mjs

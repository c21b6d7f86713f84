#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/build-2.mjs

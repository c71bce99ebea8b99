#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start: those of the project, under dist/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npx --no-install tsc -p tsconfig.json

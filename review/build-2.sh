#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are plain modules that need no build; checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-4/*.mjs [4-8]/run.mjs; do node --check "$file"; done

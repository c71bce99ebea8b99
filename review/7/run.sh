#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"

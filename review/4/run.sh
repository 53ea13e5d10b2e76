#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. With TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 115 python3 -B case.py

#!/bin/sh
# Answers are lost by resets while hedges look for an endpoint; see claim.txt. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 no
# answer is lost.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 case.py

#!/bin/sh
# Answers are lost by resets while hedges look for an endpoint; see claim.txt.
cd "$(dirname "$0")" && exec python3 case.py

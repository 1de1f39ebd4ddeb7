#!/bin/sh
# Builds the stand-ins that the cases start; they need only Python's own library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins

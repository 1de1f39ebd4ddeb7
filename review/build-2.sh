#!/bin/sh
# Prepares the stand-ins of the second review. They need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q kit2 kit3

#!/usr/bin/env bash
# Builds what the scripts of the second review start; run it after the build of the deploy file.
# The stand-ins are Python, the project's own and those in review/stand2: they are compiled only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/stand2

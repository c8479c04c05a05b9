#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's own and those in this folder. They are
# Python and use the libraries that the build of deploy/system.toml has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
fi
python3 -m compileall -q standins
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review python3 -c "import harness"

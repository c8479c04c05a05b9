#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file. They are Python
# modules that need only `target/deps`; compiling them shows that they are all there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q standins review/stand3
PYTHONPATH="target/deps:." python3 -c "import review.stand3.kit"

#!/usr/bin/env bash
# Compiles the stand-ins and clients of the scripts. They need only what the build of
# deploy/system.toml has put under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
for folder in review marigoldswitch/standins; do
  python3 - "$folder" <<'PYTHON'
import sys
from pathlib import Path

for path in Path(sys.argv[1]).rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
PYTHON
done
python3 -B -c "import review.rig.deployment, review.rig.replica"
echo "the stand-ins are built"

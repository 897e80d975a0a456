#!/bin/sh
# Puts the stand-ins that the cases start under target/review, compiled.
set -eu
cd "$(dirname "$0")/.."
python=${PYTHON:-python3}
rm -rf target/review
mkdir -p target/review
cp -R review/support target/review/support
rm -rf target/review/support/__pycache__
"$python" -m compileall -q target/review

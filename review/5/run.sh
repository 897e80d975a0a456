#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0, the case does the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/deps ] || [ ! -d target/review/support ]; then
  echo "build first: sh deploy/build.sh; sh review/build.sh"
  exit 2
fi
PYTHONPATH=target/review PYTHONDONTWRITEBYTECODE=1 \
  exec "${PYTHON:-python3}" review/5/case.py

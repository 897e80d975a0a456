#!/bin/sh
# Puts the packages and their pinned libraries under target/deps, compiled.
set -eu
cd "$(dirname "$0")/.."
stamp=target/built
if [ -e "$stamp" ] && [ -z "$(find packages platform deploy requirements.lock \
    -newer "$stamp" -type f -not -path '*/__pycache__/*' \
    -not -path '*.egg-info/*' -print -quit)" ]; then
  exit 0
fi
python=${PYTHON:-python3}
mkdir -p target
# Only libraries that the entry imports; the tools of development stay out.
grep -E '^(attrs|h11|hdrhistogram|idna|Logbook|outcome|pbr|PyYAML|returns|sniffio|sortedcontainers|six|statsd|thrift|trio|typing_extensions)==' \
  requirements.lock > target/requirements.txt
if ! cmp -s target/requirements.txt target/deps/requirements.txt; then
  rm -rf target/deps
  "$python" -m pip install -q --no-deps --target target/deps \
    -r target/requirements.txt
  cp target/requirements.txt target/deps/requirements.txt
fi
for package in core daemon; do
  name=peridotyard_$package
  rm -rf "target/deps/$name"
  cp -R "packages/peridotyard-$package/src/$name" target/deps/
done
rm -rf target/deps/peridotyard_platform
cp -R platform/src/peridotyard_platform target/deps/
"$python" -m compileall -q -j 0 target/deps || true
touch "$stamp"

#!/bin/sh
# Puts the packages and their pinned libraries under target/deps, compiled.
set -eu
cd "$(dirname "$0")/.."
python=${PYTHON:-python3}
deps=target/deps
mkdir -p target

# Compiled libraries fit one kind of processor and one Python only, and a folder
# may have been carried over from another machine.
platform="$(uname -m) $("$python" -VV | tr '\n' ' ')"
# Contents and not times decide, since a checkout may be a copy.
sources=$(find packages/*/src platform/src deploy requirements.lock \
  -type f -not -name '*.pyc' -not -path '*.egg-info/*' | LC_ALL=C sort)
digest=$({ echo "$platform"; cksum $sources; } | cksum)
if [ "$(cat target/built 2>/dev/null)" = "$digest" ]; then
  exit 0
fi

# Only libraries that the entry imports; the tools of development stay out.
grep -E '^(attrs|h11|hdrhistogram|idna|Logbook|outcome|pbr|PyYAML|returns|six|sniffio|sortedcontainers|statsd|thrift|trio|typing_extensions)==' \
  requirements.lock > target/requirements.txt
echo "# $platform" >> target/requirements.txt
if ! cmp -s target/requirements.txt $deps/requirements.txt; then
  rm -rf $deps
  "$python" -m pip install -q --no-deps --target $deps \
    -r target/requirements.txt
  cp target/requirements.txt $deps/requirements.txt
fi
for source in packages/peridotyard-core/src/peridotyard_core \
  packages/peridotyard-daemon/src/peridotyard_daemon \
  platform/src/peridotyard_platform; do
  rm -rf "$deps/$(basename $source)"
  cp -R $source $deps/
done
"$python" -m compileall -q -j 0 $deps
echo "$digest" > target/built

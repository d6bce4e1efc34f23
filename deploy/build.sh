#!/bin/sh
# Put the libraries and the packages of the system under target/deps.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if ! [ target/libraries -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check \
        --target "$deps" -r deploy/requirements.txt
    touch target/libraries
fi
rm -rf "$deps"/walnutpoint_*
for package in core scheduler; do
    cp -R "packages/walnutpoint-$package/src/walnutpoint_$package" "$deps/"
done
cp -R platform/src/walnutpoint_platform "$deps/"
python3 -m compileall -q "$deps"/walnutpoint_*

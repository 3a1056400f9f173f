#!/bin/sh
# Puts libraries and our packages under target/deps, compiled; libraries are
# fetched anew only when what they are fetched by has changed.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
wanted="deploy/requirements.txt deploy/compile_packages.py constraints.txt"
stamp="$deps/.installed"
if [ ! -f "$stamp" ] || [ "$(cat $wanted)" != "$(cat "$stamp")" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$deps" -c constraints.txt -r deploy/requirements.txt
    python3 deploy/compile_packages.py "$deps"
    cat $wanted > "$stamp"
fi
rm -rf "$deps"/papayabay_*
for package in packages/papayabay-core packages/papayabay-daemon platform; do
    cp -R "$package"/src/papayabay_* "$deps"/
done
find "$deps"/papayabay_* -name __pycache__ -prune -exec rm -rf {} +
python3 deploy/compile_packages.py "$deps"

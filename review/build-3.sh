#!/bin/sh
# The stand-ins of review/lib-3 are plain modules of Node.js: there is nothing to build. The program
# itself is built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
test -f target/shallotpick.cjs || npm run --silent bundle

#!/bin/sh
# The stand-ins under review/lib are plain modules of Node.js: there is nothing to compile.
set -e
for file in "$(dirname "$0")"/lib/*.mjs "$(dirname "$0")"/*/*.mjs; do
  node --check "$file"
done

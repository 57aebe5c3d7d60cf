#!/bin/sh
# Builds what the scripts of the second review start beside the program of the deploy file. Their
# stand-ins, in lib-2/, are plain Node.js modules without dependencies, so that only their syntax is
# checked here.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/run.mjs; do
  case "$file" in [1-5]/*) continue ;; esac
  node --check "$file"
done

#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*.rs; do
  name=$(basename "$source" .rs)
  if [ "$name" != common ]; then rustc -O --edition 2024 -o "target/review/$name" "$source"; fi
done

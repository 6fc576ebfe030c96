#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on. They are plain JavaScript without dependencies, so there is nothing to compile: it is only
# checked that each file can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.js 1[1-5]/*.js; do
	node --check "$file"
done

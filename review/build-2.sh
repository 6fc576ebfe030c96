#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript without dependencies, so it only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.js review/{6,7,8,9,10}/case.js; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done

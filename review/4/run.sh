#!/usr/bin/env bash
# Case 4: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/release/finchwood ] || exit 2
exec target/review-2/standin case gap review/4

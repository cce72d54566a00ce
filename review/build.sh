#!/bin/sh
# The stand-ins are plain scripts of Node.js, one client is one of Perl: nothing
# is compiled, they are only checked. The program is built by the deploy file.
cd "$(dirname "$0")" || exit 2
for file in standins.mjs [1-5]/run.mjs; do
  node --check "$file" || exit 1
done
perl -c slow_client.pl

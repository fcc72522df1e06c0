#!/usr/bin/env bash
# Only platform/ and deploy/ may use the names of the users' platform. Checks this
# for Go code, except tests in test/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|lease|keep)|knapweedreel/(resolve|readiness)|Not-Executed|Response-Signature|Expect-Instance|Server-(Load|Leaving)|Deadline-Ms"|KNAPWEEDREEL_BOOT|trafficSplit|warmupLeft|maxAttempts|morePages|storeRevision|[Tt]enants|[Aa]piKeys|ratePerS|Tenant-Id'
found=$(git grep -nE "$names" -- '*.go' ':!platform/' ':!test/' | grep -v 'Knapweedreel-Deadline-Ms' || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/:"
  echo "$found"
  exit 1
fi

#!/usr/bin/env bash
# Runs the tests in test/proofs with the seeds 1 to SEEDS and prints how often
# each passed and failed.
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=${SEEDS:-1}
results=$(mktemp)
trap 'rm -f "$results"' EXIT
failed=0
for seed in $(seq 1 "$seeds"); do
  if ! go test -count=1 -timeout 20m -v ./test/proofs -proofs.seed="$seed" >"$results.log" 2>&1; then
    failed=$((failed + 1))
    echo "seed $seed failed:"
    grep -E '_test.go:[0-9]+:' "$results.log" | grep -v 'put at' | head -20
  fi
  grep -E '^--- (PASS|FAIL|SKIP)' "$results.log" >>"$results" || echo "--- FAIL: seed-$seed-did-not-run" >>"$results"
  rm -f "$results.log"
done
echo
printf '| %-55s | %-6s | %-6s |\n' proof passed failed
printf '|%s|%s|%s|\n' "$(printf -- '-%.0s' {1..57})" -------- --------
awk '{ sub(":", "", $2); n[$3]++; if ($2 == "PASS") p[$3]++ }
     END { for (t in n) printf "| %-55s | %6d | %6d |\n", t, p[t], n[t] - p[t] }' "$results" | sort
passed=$(grep -c '^--- PASS' "$results" || true)
total=$(wc -l <"$results")
echo
echo "$passed passed, $((total - passed)) failed"
[ "$failed" -eq 0 ]

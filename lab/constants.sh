#!/usr/bin/env bash
# Plays scenarios with one constant of the decisions changed at a time, and prints how service differs from
# the decisions as they are, on the same days. Each change is built from a copy of the tree.
# usage: lab/constants.sh DAYS SCENARIO...
set -euo pipefail
cd "$(dirname "$0")/.."
days=$1
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
variant() { # DIR: builds DIR.bin
    (cd "$1" && go build -o "$1.bin" ./cmd/cresshub-lab)
}
copy() { mkdir -p "$1" && cp -r go.mod go.sum balance cmd internal lab "$1"; }
copy "$work/base"
variant "$work/base"
for s in "$@"; do "$work/base.bin" run "$s" --repeat "$days" -o "$work/base-$s" > "$work/log"; done
while IFS='|' read -r old new; do
    rm -rf "$work/tree"
    copy "$work/tree"
    sed -i "s#$old#$new#" "$work"/tree/balance/*.go
    if diff -rq "$work/tree/balance" balance > "$work/log"; then
        echo "not found: $old" >&2
        exit 1
    fi
    variant "$work/tree"
    for s in "$@"; do
        rm -f "$work/new"
        "$work/tree.bin" run "$s" --repeat "$days" -o "$work/new" > "$work/log"
        printf '%-48s %-16s %s\n' "$new" "$s" "$("$work/base.bin" difference "$work/base-$s" "$work/new")"
    done
done <<'LIST'
assumedLoad = 1.0|assumedLoad = 0.5
assumedLoad = 1.0|assumedLoad = 2.0
retryBudgetRatio, retryBudgetBurst = 0.2, 10.0|retryBudgetRatio, retryBudgetBurst = 0.1, 10.0
retryBudgetRatio, retryBudgetBurst = 0.2, 10.0|retryBudgetRatio, retryBudgetBurst = 0.4, 10.0
reportTTL = 80|reportTTL = 40
reportTTL = 80|reportTTL = 160
rejectTargetFraction, rejectServiceTimes = 0.3, 2.5|rejectTargetFraction, rejectServiceTimes = 0.15, 2.5
rejectTargetFraction, rejectServiceTimes = 0.3, 2.5|rejectTargetFraction, rejectServiceTimes = 0.6, 2.5
unresponsiveAfter = 4|unresponsiveAfter = 2
unresponsiveAfter = 4|unresponsiveAfter = 8
panicThreshold = 0.5|panicThreshold = 0.25
panicThreshold = 0.5|panicThreshold = 0.75
LIST

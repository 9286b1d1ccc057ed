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
    sed -i "s#$old#$new#" "$work/tree/balance/balance.go"
    if cmp -s "$work/tree/balance/balance.go" balance/balance.go; then
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
lambda = 1.0|lambda = 0.5
lambda = 1.0|lambda = 2.0
retryShare, retryBurst = 0.2, 10.0|retryShare, retryBurst = 0.1, 10.0
retryShare, retryBurst = 0.2, 10.0|retryShare, retryBurst = 0.4, 10.0
reportLife = 40|reportLife = 20
reportLife = 40|reportLife = 80
refusePart = 0.3|refusePart = 0.15
refusePart = 0.3|refusePart = 0.6
stuckAfter = 4|stuckAfter = 2
stuckAfter = 4|stuckAfter = 8
floorPart = 0.5|floorPart = 0.25
floorPart = 0.5|floorPart = 0.75
LIST

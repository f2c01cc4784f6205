#!/usr/bin/env bash
# Checks the specifications exhaustively. Each must hold, and its broken variant
# must be rejected, so that the check is known to bite.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# pan prints its verdict; "errors: 0" alone is a pass, and a search that was cut
# short is none.
verdict() {
	local name=$1
	shift
	(
		cd "$work"
		rm -f pan pan.* ./*.trail
		spin "$@" -a "$OLDPWD/$name.pml" >spin.log || { cat spin.log; exit 2; }
		cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
		./pan -m1000000 >pan.log
		grep -q 'errors: 0' pan.log && ! grep -q 'search not completed\|max search depth' pan.log
	)
}

failed=0
for name in claims versions orders; do
	if verdict "$name"; then
		echo "$name: holds ($(grep 'states, stored' "$work/pan.log" | tr -s ' '))"
	else
		echo "$name: VIOLATED"
		cat "$work/pan.log"
		failed=1
	fi
	if verdict "$name" -DBROKEN; then
		echo "$name: the broken variant was not rejected"
		failed=1
	else
		echo "$name: broken variant rejected"
	fi
done
exit "$failed"

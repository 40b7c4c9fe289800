#!/bin/bash
# check.sh verifies every model and mutant of this directory with Spin and prints a
# table. It fails when a model violates an assertion, when a mutant violates none, or
# when a search ends before it is exhaustive (depth, memory or time limit).
#
#   spec/check.sh          all runs
#   spec/check.sh quick    the runs marked quick, for CI
#
# Searches are exhaustive (-DSAFETY, with lossless -DCOLLAPSE compression). Each may
# use $MEMORY MB of memory; $PARALLEL run in parallel.
set -u
cd "$(dirname "$0")" || exit 2
for tool in spin gcc; do
	if ! command -v "$tool" >/dev/null; then
		echo "check.sh: $tool is not installed (Debian packages: spin, gcc)" >&2
		exit 2
	fi
done

MEMORY=3000   # MB, for each search
DEPTH=20000   # steps, the longest path that a search follows
PARALLEL=3    # searches at a time
LIMIT=150     # seconds, for each search

# runs prints the runs, one a line: mark | model | mutant or - | bounds. CI runs those
# marked "quick". An "open" run has a mutant without a guard that isn't needed within its
# bounds: the run is expected to find no violation. A WITNESS in the mutant column is an
# assertion that a state of interest is unreachable. It must fail; otherwise the model
# would hold only because it never reaches that state.
runs() {
	local three="-DTERMS=3 -DLEN=1 -DCRASHES=1"
	local four="-DTERMS=4 -DLEN=1 -DCRASHES=0"
	local five="-DVOTERS=5 -DTERMS=2 -DLEN=1 -DCRASHES=1 -DCRASHERS=1 -DCAMPAIGNERS=4 -DLEAD=1"
	echo "full|log|-|$three"
	echo "quick|log|-|-DTERMS=2 -DLEN=2 -DCRASHES=1"
	echo "quick|log|-|-DTERMS=2 -DLEN=1 -DCRASHES=2"
	echo "full|log|-|$four"
	echo "full|log|-|-DTERMS=3 -DLEN=2 -DCRASHES=0"
	echo "quick|log|-|$five"
	echo "full|log|-|$three -DDISKS=1"
	echo "quick|log|NO_RECOVERY|$three"
	echo "quick|log|VOTE_NOT_SPENT|$three"
	echo "quick|log|RECOVER_WITHOUT_LOG|$three"
	echo "quick|log|RECOVER_FROM_LEADER_ONLY|$three"
	echo "quick|log|NO_LOG_COMPARISON|$three"
	echo "quick|log|OLD_TERM_COMMIT|$four"
	echo "quick|log|NO_INCARNATION_VECTOR|$five"
	echo "open|log|NO_INCARNATION_VECTOR|$three"

	local loss="-DTERMS=3 -DPOWER=1 -DCRASHES=0"
	local stale="-DTERMS=3 -DPOWER=0 -DCRASHES=2 -DCAMP2=1 -DCAMP3=4 -DCRASHERS=6"
	local again="-DTERMS=3 -DPOWER=1 -DCRASHES=1 -DCAMP2=1 -DCAMP3=4 -DCRASHERS=4"
	echo "full|power|-|$loss"
	echo "full|power|-|$again"
	echo "full|power|-|$loss -DDISKS=3"
	echo "quick|power|-|-DTERMS=2 -DPOWER=1 -DCRASHES=1"
	echo "full|power|-|$stale"
	echo "full|power|-|-DANSWERS_FIRST $loss"
	echo "quick|power|-|-DANSWERS_FIRST -DTERMS=2 -DPOWER=1 -DCRASHES=1"
	echo "full|power|-|-DANSWERS_FIRST $stale"
	echo "quick|power|NO_DISK_SYNC|$loss"
	echo "quick|power|OLD_MESSAGES|$loss"
	echo "quick|power|ONE_ROUND|$stale"
	echo "quick|power|JOIN_AFTER_WIN|$again"
	echo "quick|power|WITNESS_COLD_START_WITH_LOG|$loss"

	local pair="-DVOTERS=3 -DSTART=3 -DSETTLED -DTERMS=2"
	local back="$pair -DLEN=3 -DCRASHES=1 -DCRASHERS=2 -DCHANGEABLE=4 -DCAMPAIGNERS=4"
	local trio="-DVOTERS=4 -DSTART=7 -DSETTLED -DTERMS=2"
	local stack="$trio -DLEN=3 -DCRASHES=0 -DCHANGEABLE=12 -DCAMPAIGNERS=2"
	local repair="$trio -DLEN=3 -DCRASHES=1 -DCHANGEABLE=12 -DLOST=4"
	local even="-DVOTERS=4 -DSTART=15 -DTERMS=3 -DLEN=1 -DCRASHES=0"
	echo "quick|membership|-|$pair -DLEN=2 -DCRASHES=1"
	echo "quick|membership|-|$back"
	echo "quick|membership|-|$trio -DLEN=2 -DCRASHES=0"
	echo "full|membership|-|$trio -DLEN=2 -DCRASHES=1 -DCHANGEABLE=8"
	echo "full|membership|-|$stack"
	echo "full|membership|-|$repair"
	echo "full|membership|WITNESS_RECOVERY_AFTER_REPAIR|$repair"
	echo "quick|membership|TWO_AT_ONCE|$trio -DLEN=2 -DCRASHES=0"
	echo "quick|membership|CHANGE_BEFORE_LAST_COMMIT|$stack"
	echo "quick|membership|CHANGE_BEFORE_OWN_COMMIT|$even"
	echo "quick|membership|RECOVER_BY_START_MEMBERSHIP|$back"
	echo "quick|membership|RECOVER_BY_LATEST_MEMBERSHIP|$back"

	echo "quick|lease|-|-DIDEMPOTENT=1"
	echo "quick|lease|-|-DIDEMPOTENT=0"
	echo "full|lease|-|-DIDEMPOTENT=1 -DINCARNATIONS=3"
	echo "full|lease|-|-DIDEMPOTENT=0 -DINCARNATIONS=3"
	echo "full|lease|-|-DIDEMPOTENT=1 -DTTL=3 -DDRIFT=2"
	local mutant
	for mutant in SEND_BEFORE_COMMIT NO_TOMBSTONE NO_TERM_CHECK NO_INCARNATION_CHECK NO_LEASE_CHECK \
		SAME_INCARNATION_AFTER_LAPSE GONE_IN_MEMORY NO_DRIFT_MARGIN COUNT_FROM_GRANT \
		NEW_LEADER_DOES_NOT_WAIT STALE_LEADER_GRANTS RETRY_BEFORE_EXPIRY NOTRUN_ON_EXPIRY; do
		echo "quick|lease|$mutant|-DIDEMPOTENT=1"
	done
	echo "quick|lease|WITNESS_NOTRUN_BY_TOMBSTONE|-DIDEMPOTENT=0"
	echo "quick|lease|NO_REPEAT_CHECK|-DIDEMPOTENT=0"
	echo "quick|lease|RETRY_NON_IDEMPOTENT|-DIDEMPOTENT=0"

	echo "quick|handover|-|-DHOPS=5"
	for mutant in TAKE_BACK_ON_TIMEOUT OFFER_BEFORE_COMMIT ANSWER_BEFORE_COMMIT FORGET_ON_SENDING NO_HOP_CHECK NO_MARK; do
		echo "quick|handover|$mutant|-DHOPS=5"
	done

	echo "quick|order|-|-DRUNS=2"
	for mutant in NO_FENCE_IN_LOOK SETTLE_WITHOUT_STOP STOP_AFTER_SENDING NO_TOMBSTONE SETTLE_WITHOUT_LEASE; do
		echo "quick|order|$mutant|-DRUNS=2"
	done

	echo "quick|proof|-|-DRUNS=2"
	echo "full|proof|-|-DRUNS=3"
	for mutant in SENT_AFTER_END READ_LATER SAME_TOKEN WITNESS_END_OF_IDLE_WORKER; do
		echo "quick|proof|$mutant|-DRUNS=2"
	done

	echo "quick|carrier|-|-DLAST=7"
	for mutant in RELATIVE RENEWS NO_TERM KEEPS_OUTCOMES NO_PREDECESSOR; do
		echo "quick|carrier|$mutant|-DLAST=7"
	done

	echo "quick|maintenance|-|-DMACHINES=3"
	echo "quick|maintenance|-|-DMACHINES=3 -DRESTARTS=1"
	for mutant in SEND_BEFORE_COMMIT ORDERED_IS_UP UP_IS_BACK DONE_WHEN_ORDERED; do
		echo "quick|maintenance|$mutant|-DMACHINES=3"
	done
	echo "quick|maintenance|NO_TIME|-DMACHINES=3 -DRESTARTS=1"

	echo "quick|limit|-|-DTASKS=3"
	echo "full|limit|-|-DTASKS=4 -DLIMIT=3"
	for mutant in NO_COMMIT_CHECK LOST_UNCOUNTED NEW_LEADER_FORGETS SEND_BEFORE_COMMIT STOPPING_UNCOUNTED; do
		echo "quick|limit|$mutant|-DTASKS=3"
	done

	echo "quick|voters|-|-DLOSSES=1"
	echo "quick|voters|-|-DLOSSES=2 -DSIZE=3"
	for mutant in ANY_DATA_CENTRE PROMOTE_FIRST; do
		echo "quick|voters|$mutant|-DLOSSES=2 -DSIZE=3"
	done

	echo "quick|config|-|-DVERSIONS=3 -DRESTARTS=2"
	echo "full|config|-|-DVERSIONS=4 -DRESTARTS=3"
	for mutant in NO_COMPARISON APPLY_BEFORE_ADOPTION ADOPT_OLDER OLD_ANSWER SERVE_AT_ONCE STALE_LEADER_ANSWERS; do
		echo "quick|config|$mutant|-DVERSIONS=3 -DRESTARTS=2"
	done
}

# verdict prints the result of a search: in lower case if it is as expected, in capitals
# otherwise.
verdict() { # mark mutant output
	if ! grep -q "errors:" <<<"$3"; then
		echo "NOT FINISHED"
	elif grep -q "assertion violated" <<<"$3"; then
		case $1,$2 in
		*,- | open,*) echo "VIOLATION" ;;
		*,WITNESS_*) echo "reached" ;;
		*) echo "caught" ;;
		esac
	elif ! grep -q "errors: 0" <<<"$3"; then
		echo "OTHER ERROR"
	elif grep -qE "MEMLIM|search depth too small|Search not completed|not been completed" <<<"$3"; then
		echo "NOT EXHAUSTED"
	elif [ "$2" = - ]; then
		echo "holds"
	elif [ "$1" = open ]; then
		echo "no violation"
	elif [[ $2 == WITNESS_* ]]; then
		echo "NOT REACHED"
	else
		echo "NOT CAUGHT"
	fi
}

# run verifies one line of runs and prints its row of the table.
run() {
	local number mark model mutant bounds
	IFS='|' read -r number mark model mutant bounds <<<"$1"
	local flags="$bounds" dir out began states depth
	case $mutant in
	-) ;;
	WITNESS_*) flags="$flags -D$mutant" ;;
	*) flags="$flags -DMUTANT_$mutant" ;;
	esac
	dir=$(mktemp -d) || return 1
	cp ./*.pml ./*.inc "$dir"
	cd "$dir" || return 1
	began=$(date +%s.%N)
	# $flags must be split into words.
	# shellcheck disable=SC2086
	out=$(spin -a $flags "$model.pml" 2>&1 &&
		gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$MEMORY -DVECTORSZ=2048 $flags -o pan pan.c 2>&1 &&
		timeout $LIMIT ./pan -E -m$DEPTH 2>&1)
	states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' <<<"$out" | head -1)
	depth=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' <<<"$out" | head -1)
	printf '%s|%s|%s|%s|%s|%s|%s|%.1f\n' "$number" "$model" "${bounds//-D/}" "$mutant" \
		"$(verdict "$mark" "$mutant" "$out")" "${states:--}" "${depth:--}" \
		"$(echo "$(date +%s.%N) - $began" | bc -l 2>/dev/null || awk -v a="$began" -v b="$(date +%s.%N)" 'BEGIN { print b - a }')"
	rm -rf "$dir"
}
export -f run verdict
export MEMORY DEPTH LIMIT

wanted='.'
[ "${1:-}" = quick ] && wanted='^quick'
started=$SECONDS
rows=$(runs | grep "$wanted" | awk '{ print NR "|" $0 }' | xargs -d '\n' -P $PARALLEL -I{} bash -c 'run "$1"' _ {} | sort -n)
expected=$(runs | grep -c "$wanted")

echo "| model | bounds | mutant | result | states | depth | seconds |"
echo "|---|---|---|---|---:|---:|---:|"
cut -d'|' -f2- <<<"$rows" | sed 's/|/ | /g; s/^/| /; s/$/ |/'
echo
bad=$(cut -d'|' -f5 <<<"$rows" | grep -cE '^[A-Z ]+$')
got=$(grep -c . <<<"$rows")
echo "$got of $expected runs, $bad surprises, $((SECONDS - started)) s, $(spin -V | head -1)"
[ "$bad" -eq 0 ] && [ "$got" -eq "$expected" ]

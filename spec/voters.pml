/* voters.pml: the spread of VOTERS voters over DCS data centres of SIZE instances each.
 *
 * The leader changes one member at a time, whenever it likes: it replaces a voter that is lost
 * by a learner, and moves voters to even out the spread. No data centre may hold more than LOSSES
 * voters. What has to be tolerated is lost at once: LOSSES instances, or one data centre. It
 * returns, and the number of voters is restored, before the next loss.
 *
 * Safety: a majority of the voters is never lost, also between two changes.
 *
 * Mutants: ANY_DATA_CENTRE (a learner is promoted whatever its data centre holds),
 * PROMOTE_FIRST (a replacement is promoted before the lost voter is removed although its data
 * centre holds as many voters as it may).
 */
#ifndef DCS
#define DCS 3
#endif
#ifndef SIZE
#define SIZE 2
#endif
#ifndef LOSSES
#define LOSSES 2
#endif
#define VOTERS (2 * LOSSES + 1)
#define N (DCS * SIZE)
#define dc(x) ((x) / SIZE)

bool lost[N];
bool votes[N];
/* The number of voters, and those of each data centre. */
byte total = 0;
byte held[DCS];
/* How many instances may still be lost in this loss, and whether any is lost. */
byte mayFail = LOSSES;
bool anyLost = false;

inline check() {
	d_step {
		i = 0;
		left = 0;
		do
		:: i < N ->
			if
			:: votes[i] && !lost[i] -> left++
			:: else
			fi;
			i++
		:: else -> break
		od;
		assert(2 * left > total)
	}
}

inline promote(x) { votes[x] = true; held[dc(x)]++; total++ }
inline drop(x) { votes[x] = false; held[dc(x)]--; total-- }

/* pick sets x to any instance. */
inline pick(x) {
	x = 0;
	do
	:: x < N - 1 -> x++
	:: break
	od
}

/* spare says whether the data centre of l may hold another voter, room whether it may once v is
 * removed, full whether a voter has to be removed there first. */
#ifdef MUTANT_ANY_DATA_CENTRE
#define spare(l) true
#else
#define spare(l) (held[dc(l)] < LOSSES)
#endif
#define room(l, v) (spare(l) || (held[dc(l)] == LOSSES && dc(v) == dc(l)))
#ifdef MUTANT_PROMOTE_FIRST
#define full(l) false
#else
#define full(l) (!spare(l))
#endif

inline replace(v, l) {
	if
	:: full(l) -> drop(v)
	:: else -> promote(l)
	fi
}

/* crowded says whether no data centre holds more voters than that of v. */
inline crowded(v) {
	most = true;
	i = 0;
	do
	:: i < DCS -> most = most && held[i] <= held[dc(v)]; i++
	:: else -> break
	od
}

/* change makes one change of the membership about the voter v and the learner l. */
inline change(v, l) {
	crowded(v);
	if
	:: total > VOTERS && votes[v] && lost[v] -> drop(v)
	:: total > VOTERS && votes[v] && !anyLost && most -> drop(v)
	:: total < VOTERS && !votes[l] && !lost[l] && spare(l) -> promote(l)
	:: total == VOTERS && votes[v] && lost[v] && !votes[l] && !lost[l] && room(l, v) -> replace(v, l)
	:: total == VOTERS && !anyLost && votes[v] && !votes[l] && held[dc(l)] + 2 <= held[dc(v)] -> promote(l)
	:: else
	fi
}

init {
	byte i, v, l;
	byte left;
	bool most;
	atomic {
		/* The first voters are spread evenly. */
		i = 0;
		do
		:: i < VOTERS -> l = (i % DCS) * SIZE + i / DCS; promote(l); i++
		:: else -> break
		od
	}
	do
	:: atomic { pick(v); pick(l); change(v, l); v = 0; l = 0; check() }
	:: atomic { mayFail > 0 && total == VOTERS && (!anyLost || mayFail < LOSSES) ->
		pick(v); lost[v] = true; anyLost = true; mayFail--; v = 0; check() }
	:: atomic { !anyLost && total == VOTERS ->
		pick(v); v = dc(v); i = 0;
		do
		:: i < SIZE -> lost[v * SIZE + i] = true; i++
		:: else -> break
		od;
		anyLost = true; mayFail = 0; v = 0; check() }
	:: atomic { anyLost ->
		i = 0;
		do
		:: i < N -> lost[i] = false; i++
		:: else -> break
		od;
		anyLost = false; mayFail = LOSSES; check() }
	od
}

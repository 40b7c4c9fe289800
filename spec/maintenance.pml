/* maintenance.pml: a maintenance wave over MACHINES machines, of which one may be down at
 * a time, under two successive leaders.
 *
 * A sent order is never removed from the network: it may be executed at any later time,
 * and its answer may be lost. The deployment executes at most one order for a machine in
 * a wave, and repeats its first answer to a duplicate. The list of machines may be stale:
 * the leader reads it machine by machine, at any time, and it may show a machine as up
 * that has just gone down. A machine comes back as a new incarnation; with RESTARTS it may also
 * restart by itself.
 *
 * The leader commits an order before it sends it. A machine counts as down from the
 * commit until its maintenance is known to have begun, the duration of a maintenance has
 * passed since then, and the list shows a new incarnation of it.
 *
 * Safety: no maintenance begins while another machine of the wave is down for its own;
 * a wave that is reported as done has begun on each machine.
 *
 * Mutants: SEND_BEFORE_COMMIT (the leader commits an order after it has sent it),
 * ORDERED_IS_UP (a machine isn't counted as down until its maintenance has begun),
 * UP_IS_BACK (a machine is back once the list shows it as up), NO_TIME (a machine is back
 * once the list shows a new incarnation; needs RESTARTS), DONE_WHEN_ORDERED (an order
 * that was sent counts as begun).
 */
#ifndef MACHINES
#define MACHINES 3
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif

/* Committed state: stage of each machine (0 waiting, 1 ordered, 2 begun), and the
 * incarnation for which the order was issued. */
byte stage[MACHINES];
byte orderedLife[MACHINES];

/* In the leader's memory: machine + 1 of an order that was sent but isn't committed
 * (mutant only), 0 for none; whether the duration of a maintenance has passed since the
 * maintenance began; whether the second leader has taken over. */
byte uncommitted = 0;
bool passed[MACHINES];
bool second = false;

/* The list of machines as the leader last read it. */
bool shownUp[MACHINES];
byte shownLife[MACHINES];

/* Orders: sent, and executed (did). Machines: down for maintenance, and incarnation. */
bool sent[MACHINES];
bool did[MACHINES];
bool down[MACHINES];
byte life[MACHINES];
byte restarts = 0;

/* countDown sets n to the number of machines that the leader takes to be down. */
inline countDown(n) {
	n = 0;
	i = 0;
	do
	:: i < MACHINES ->
		if
#ifdef MUTANT_ORDERED_IS_UP
		:: stage[i] == 1 -> skip
#else
		:: stage[i] == 1 -> n++
#endif
#ifdef MUTANT_UP_IS_BACK
		:: stage[i] == 2 && !shownUp[i] -> n++
#else
#ifdef MUTANT_NO_TIME
		:: stage[i] == 2 && !(shownUp[i] && shownLife[i] != orderedLife[i]) -> n++
#else
		:: stage[i] == 2 && !(passed[i] && shownUp[i] && shownLife[i] != orderedLife[i]) -> n++
#endif
#endif
		:: else -> skip
		fi;
		i++
	:: else -> break
	od
}

inline commit(m) {
	stage[m] = 1;
	orderedLife[m] = shownLife[m]
}

/* carryOut is the deployment's execution of an order; a duplicate has no effect. */
inline carryOut(m) {
	if
	:: !did[m] && !down[m] ->
		i = 0;
		do
		:: i < MACHINES -> assert(!down[i]); i++
		:: else -> break
		od;
		did[m] = true;
		down[m] = true
	:: else -> skip
	fi
}

/* read copies the state of machine m to the list. */
inline read(m) {
	shownUp[m] = !down[m];
	shownLife[m] = life[m]
}

/* checkDone asserts that each machine has executed its order once the committed state says
 * that maintenance has begun on each machine. */
inline checkDone() {
	i = 0;
	n = 0;
	do
	:: i < MACHINES -> if :: stage[i] == 2 -> n++ :: else -> skip fi; i++
	:: else -> break
	od;
	if
	:: n == MACHINES ->
		i = 0;
		do
		:: i < MACHINES -> assert(did[i]); i++
		:: else -> break
		od
	:: else -> skip
	fi
}

init {
	byte i;
	byte m;
	byte n;
	atomic {
		i = 0;
		do
		:: i < MACHINES -> shownUp[i] = true; i++
		:: else -> break
		od
	}
	do
	/* The leader commits an order for a machine that it takes to be up. */
	:: atomic { select(m : 0 .. MACHINES - 1); countDown(n);
		if
		:: n == 0 && stage[m] == 0 && shownUp[m] && uncommitted == 0 ->
#ifdef MUTANT_SEND_BEFORE_COMMIT
			sent[m] = true;
			uncommitted = m + 1
#else
			commit(m)
#endif
		:: else -> skip
		fi }
#ifdef MUTANT_SEND_BEFORE_COMMIT
	:: atomic { uncommitted > 0; commit(uncommitted - 1); uncommitted = 0 }
#endif
	/* The leader sends a committed order and repeats it until it is answered. */
	:: atomic { select(m : 0 .. MACHINES - 1);
		if
		:: stage[m] == 1 ->
			sent[m] = true;
#ifdef MUTANT_DONE_WHEN_ORDERED
			stage[m] = 2
#endif
		:: else -> skip
		fi; checkDone() }
	/* The deployment executes an order; its answer arrives or is lost. */
	:: atomic { select(m : 0 .. MACHINES - 1);
		if
		:: sent[m] ->
			carryOut(m);
			if
			:: stage[m] == 1 && did[m] -> stage[m] = 2; passed[m] = false
			:: skip
			fi
		:: else -> skip
		fi; checkDone() }
	/* A machine comes back; the duration of its maintenance has passed only after that. */
	:: atomic { select(m : 0 .. MACHINES - 1);
		if
		:: down[m] -> down[m] = false; life[m] = life[m] + 1
		:: !down[m] && did[m] && stage[m] == 2 -> passed[m] = true
		:: else -> skip
		fi }
	:: atomic { restarts < RESTARTS; select(m : 0 .. MACHINES - 1);
		if
		:: !down[m] -> life[m] = life[m] + 1; restarts++
		:: else -> skip
		fi }
	:: atomic { select(m : 0 .. MACHINES - 1); read(m) }
	/* The second leader knows committed state only, and measures durations afresh. */
	:: atomic { !second; second = true; uncommitted = 0;
		i = 0;
		do
		:: i < MACHINES -> passed[i] = false; i++
		:: else -> break
		od }
	od
}

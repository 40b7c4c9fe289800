/*
 * Orders that leaders hand over to a carrier, across a change of leader.
 *
 * Leader 1 gives orders for one worker until it learns that its right to decide has
 * ended, at most PRED after leader 2 has begun. Both reach the worker through one
 * carrier. Orders and outcomes may be delayed for as long as may be, and get lost. An
 * order prolongs the worker's lease to an end that the leader has written into it;
 * each leader counts with its own bound on that end. Time goes on in steps; the drift
 * of clocks is a factor that the program adds to every bound and is left out here.
 *
 * Asserted:
 * 1. from when leader 2 has begun, the lease ends no later than its bound says, so
 *    that a run which it takes for over isn't alive;
 * 2. the carrier sends no order of leader 1 once it has heard of leader 2;
 * 3. a leader takes in outcomes of its own orders only: both number them from 1.
 *
 * Mutants: RELATIVE (the carrier writes the end of the lease when it sends the order),
 * RENEWS (it prolongs the lease by itself while it hears a leader), NO_TERM (it carries
 * orders of any term), KEEPS_OUTCOMES (outcomes of an earlier term are handed to the
 * next leader), NO_PREDECESSOR (leader 2 counts only with its own orders).
 */
#ifndef LAST
#define LAST 7
#endif
#define LEASE 2
#define PRED 1

byte now = 0;
byte leaseEnd = 0;
byte bound2 = 0;
/* begun2 is when leader 2 begins; LAST + 1 before. */
byte begun2 = LAST + 1;
byte carrierTerm = 0;

/* An order: its term, and the end of the lease that it carries. */
chan toCarrier = [2] of { byte, byte };
chan toWorker = [2] of { byte, byte };
/* Outcomes that the carrier holds, by the term of their order. */
chan outcomes = [2] of { byte };

#define over (now >= LAST)
#define checkBound assert(begun2 > LAST || leaseEnd <= bound2 || leaseEnd <= now)

active proctype Clock() {
	do
	:: now < LAST -> now++
	:: else -> break
	od
}

active proctype Leader1() {
	do
	:: atomic { !over && (begun2 > LAST || now <= begun2 + PRED) && nfull(toCarrier) ->
		toCarrier!1, now + LEASE }
	:: over -> break
	od
}

active proctype Leader2() {
	byte whose;
	atomic { !over ->
		begun2 = now;
#ifdef MUTANT_NO_PREDECESSOR
		bound2 = now;
#else
		bound2 = now + LEASE + PRED;
#endif
	}
	do
	:: atomic { !over && nfull(toCarrier) ->
		bound2 = (now + LEASE > bound2 -> now + LEASE : bound2);
		toCarrier!2, now + LEASE }
	:: atomic { carrierTerm == 2 && nempty(outcomes) ->
		outcomes?whose;
		assert(whose == 2) }
	:: over -> break
	od
}

active proctype Carrier() {
	byte term, until;
	do
	:: atomic { toCarrier?term, until ->
		if
#ifndef MUTANT_NO_TERM
		:: term < carrierTerm -> skip
		:: term >= carrierTerm ->
#else
		:: true ->
#endif
			if
			:: term > carrierTerm ->
				carrierTerm = term;
#ifndef MUTANT_KEEPS_OUTCOMES
				do
				:: outcomes?_
				:: empty(outcomes) -> break
				od
#endif
			:: else
			fi;
#ifdef MUTANT_RELATIVE
			until = now + LEASE;
#endif
			assert(term == carrierTerm);
			if
			:: nfull(toWorker) -> toWorker!term, until
			:: skip /* lost */
			fi
		fi;
		term = 0; until = 0 }
#ifdef MUTANT_RENEWS
	:: atomic { !over && carrierTerm > 0 && nfull(toWorker) -> toWorker!carrierTerm, now + LEASE }
#endif
	:: over && empty(toCarrier) -> break
	od
}

active proctype Worker() {
	byte term, until;
	byte fence = 0;
	do
	:: atomic { toWorker?term, until ->
		if
		:: term < fence -> skip
		:: else ->
			fence = term;
			if
			/* An order whose lease has ended prolongs nothing. */
			:: until > now && until > leaseEnd -> leaseEnd = until
			:: else
			fi;
			checkBound;
			if
			/* The carrier drops outcomes of terms that it doesn't act under. */
#ifdef MUTANT_KEEPS_OUTCOMES
			:: nfull(outcomes) -> outcomes!term
#else
			:: nfull(outcomes) && term == carrierTerm -> outcomes!term
#endif
			:: skip /* lost */
			fi
		fi;
		term = 0; until = 0 }
	:: over && empty(toWorker) -> break
	od
}

/*
 * Orders that two successive leaders send to a worker through one carrier: an instance
 * that forwards orders to the worker and buffers the outcomes that the worker returns.
 *
 * Leader 1 issues orders until it learns that its leadership has ended, at most PRED
 * ticks after leader 2 begins. Orders and outcomes may be delayed without bound or
 * lost. Each order contains an absolute time up to which it extends the worker's lease;
 * each leader keeps an upper bound of these times. Time advances in ticks up to LAST; an
 * order extends the lease to LEASE ticks after the order is issued. Clock drift is left
 * out: the program multiplies every bound by a drift factor.
 *
 * Asserted:
 * 1. once leader 2 has begun, the worker's lease ends no later than leader 2's bound,
 *    so that no run is alive which leader 2 takes to have ended;
 * 2. the carrier forwards no order of leader 1 once it has received one of leader 2;
 * 3. a leader records outcomes of its own orders only, since both leaders number their
 *    orders from 1.
 *
 * Mutants: RELATIVE (the carrier computes the end of the lease when it sends the order),
 * RENEWS (the carrier extends the lease by itself while it hears from a leader), NO_TERM
 * (the carrier forwards orders of any term), KEEPS_OUTCOMES (the carrier hands outcomes
 * of an earlier term to the next leader), NO_PREDECESSOR (leader 2's bound covers only
 * its own orders).
 */
#ifndef LAST
#define LAST 7
#endif
#define LEASE 2
#define PRED 1

byte now = 0;
byte leaseEnd = 0;
byte bound2 = 0;
/* begun2 is the tick at which leader 2 begins; LAST + 1 until then. */
byte begun2 = LAST + 1;
byte carrierTerm = 0;

/* Orders: term of the leader, and the end to which the order extends the lease. */
chan toCarrier = [2] of { byte, byte };
chan toWorker = [2] of { byte, byte };
/* Outcomes buffered at the carrier, each by the term of its order. */
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
			/* An order whose lease end has passed doesn't extend the lease. */
			:: until > now && until > leaseEnd -> leaseEnd = until
			:: else
			fi;
			checkBound;
			if
			/* The carrier drops outcomes of every term but its current one. */
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

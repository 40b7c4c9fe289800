/* proof.pml: proofs of the end of a run that are older than what they are used for.
 *
 * One worker, two successive tenures of one leader, RUNS runs of one task. A run may also begin
 * elsewhere, where it runs at once and for ever. A start is committed first and sent later,
 * possibly again; a sent start may be carried out at any time until the lease of the worker ends. A
 * start extends the lease, a poll doesn't: the lease of an idle worker ends while the worker is
 * alive.
 *
 * A run begins only when every earlier one is settled, by one of
 *  - its end in a report,
 *  - a report without the run, if the leader sent the poll after the worker had acknowledged a
 *    stop of the run, or if an earlier tenure began the run: the poll carries the fencing token,
 *    and the worker refuses lower ones from then on,
 *  - a poll without a response that finds the lease over. It ends the runs that are known in that
 *    step, whose starts aren't sent from then on. Their ends are committed later.
 *
 * Safety: the task never runs twice at the same time, and no run begins after another has ended as
 * done, unless the lease of that run's worker has ended since.
 *
 * Mutants: SENT_AFTER_END (a start is sent although the end of its run is known or committed),
 * READ_LATER (the runs that the lease ends are read when their ends are committed),
 * SAME_TOKEN (both tenures have one fencing token). Witness: END_OF_IDLE_WORKER (a lease is found
 * over while a start that was committed isn't sent yet).
 */
#ifndef RUNS
#define RUNS 2
#endif

/* The leader: its fencing token, and its state of each run on the worker (numbered from 1). */
byte fence = 1;
byte tenure = 1;
byte begun = 0;                 /* runs committed so far */
bool elsewhere = false;         /* a run has begun elsewhere */
bool settled[RUNS + 1];
bool own[RUNS + 1];             /* begun by the current tenure */
bool withdrawn[RUNS + 1];       /* the end is known; the start isn't sent any more */
bool acked[RUNS + 1];           /* the worker has acknowledged its stop */
bool taken = false;             /* the leader has recorded that a run ended as done */
bool held = false;              /* by the leader's reckoning, the lease isn't over */

/* Ends by the lease that are being committed, and their runs. */
bool proof = false;
bool covered[RUNS + 1];

/* The poll: 0 none, 1 sent, 2 answered by a report. */
byte look = 0;
byte lookFence;
bool lookAcked[RUNS + 1];       /* stops acknowledged when the poll was sent */
byte listed;                    /* running in the report, 0 for none */
byte listedEnd;                 /* ended in the report, 0 for none */
bool listedDone;                /* it ended as done */

/* The network: the token of the start of each run, 0 for none. */
byte order[RUNS + 1];

/* The worker. */
byte seen = 0;                  /* highest token received */
byte running = 0;               /* run that is alive, 0 for none */
byte barred = 0;                /* highest run stopped or ended */
byte ended = 0;                 /* run whose end is listed, 0 for none */
bool done = false;              /* it ended as done */
/* For assertions: a run has ended as done, and the lease hasn't ended since. */
bool counts = false;

inline check() {
	assert(!(running != 0 && (elsewhere || taken)));
	assert(!(elsewhere && counts))
}

/* commitStart commits the start of the next run. It is sent later. */
inline commitStart() {
	begun++;
	own[begun] = true
}

inline sendStart(r) {
	if
#ifdef MUTANT_SENT_AFTER_END
	:: own[r] && !taken ->
#else
	:: own[r] && !settled[r] && !withdrawn[r] ->
#endif
		order[r] = fence;
		held = true
	:: else -> skip
	fi
}

/* carryOut executes a call of the start of run r. Another call of it may be on its way. */
inline carryOut(r, last) {
	if
	:: order[r] >= seen ->
		seen = order[r];
		if
		:: r > barred && running != r ->
			assert(running == 0 && !counts);
			running = r
		:: else -> skip
		fi
	:: else -> skip
	fi;
	if :: last -> order[r] = 0 :: else -> skip fi
}

/* stop executes a stop of run r; the acknowledgement may be lost. */
inline stop(r, answered) {
	if
	:: fence >= seen ->
		seen = fence;
		if :: r > barred -> barred = r :: else -> skip fi;
		if :: running == r -> running = 0; ended = r; done = false :: else -> skip fi;
		if :: answered -> acked[r] = true :: else -> skip fi
	:: else -> skip
	fi
}

inline finish(isDone) {
	ended = running;
	done = isDone;
	counts = counts || isDone;
	if :: running > barred -> barred = running :: else -> skip fi;
	running = 0
}

inline sendLook() {
	look = 1;
	lookFence = fence;
	i = 1;
	do
	:: i <= RUNS -> lookAcked[i] = acked[i]; i++
	:: else -> break
	od
}

inline answerLook() {
	if
	:: lookFence >= seen ->
		seen = lookFence;
		listed = running;
		listedEnd = ended;
		listedDone = done;
		look = 2
	:: else -> look = 0
	fi
}

/* takeIn settles the runs that the report accounts for. */
inline takeIn() {
	i = 1;
	do
	:: i <= begun && !settled[i] && listedEnd == i ->
		settled[i] = true;
		taken = taken || listedDone;
		i++
	:: i <= begun && !settled[i] && listedEnd != i && listed != i && (!own[i] || lookAcked[i]) ->
		settled[i] = true;
		i++
	:: i <= begun && !(!settled[i] && (listedEnd == i || listed != i && (!own[i] || lookAcked[i]))) -> i++
	:: i > begun -> break
	od;
	look = 0
}

/* lapse ends the lease: the worker runs nothing then and refuses the orders issued before. */
inline lapse() {
	running = 0;
	counts = false;
	held = false;
	i = 1;
	do
	:: i <= RUNS -> order[i] = 0; i++
	:: else -> break
	od
}

/* cover takes the runs that the end of the lease ends, and withdraws their starts. */
inline cover() {
	i = 1;
	do
	:: i <= begun && !settled[i] ->
#ifdef WITNESS_END_OF_IDLE_WORKER
		assert(!own[i] || order[i] != 0);
#endif
		covered[i] = true;
		withdrawn[i] = true;
		i++
	:: i <= begun && settled[i] -> i++
	:: i > begun -> break
	od
}

/* missPoll handles a poll without a response. */
inline missPoll() {
	look = 0;
	if
	:: !held ->
		proof = true;
#ifndef MUTANT_READ_LATER
		cover()
#endif
	:: else -> skip
	fi
}

/* commitEnds commits the ends that a poll without a response has proved. */
inline commitEnds() {
#ifdef MUTANT_READ_LATER
	cover();
#endif
	i = 1;
	do
	:: i <= RUNS -> settled[i] = settled[i] || covered[i]; covered[i] = false; i++
	:: else -> break
	od;
	proof = false
}

/* beginTenure begins the second tenure. It reckons with a lease that the first one has granted. */
inline beginTenure() {
	tenure = 2;
#ifndef MUTANT_SAME_TOKEN
	fence = 2;
#endif
	look = 0;
	proof = false;
	held = true;
	i = 1;
	do
	:: i <= RUNS -> own[i] = false; acked[i] = false; lookAcked[i] = false; covered[i] = false; i++
	:: else -> break
	od
}

inline mayBegin(ok) {
	ok = (!taken && !elsewhere);
	i = 1;
	do
	:: i <= begun -> ok = ok && settled[i]; i++
	:: else -> break
	od
}

active proctype system() {
	byte i;
	byte r;
	bool ok;
	do
	:: atomic { begun < RUNS; mayBegin(ok); if :: ok -> commitStart() :: else -> skip fi }
	:: atomic { mayBegin(ok); elsewhere = elsewhere || ok; check() }
	:: atomic { begun > 0; select(r : 1 .. RUNS);
		if :: r <= begun -> sendStart(r) :: else -> skip fi }
	:: atomic { begun > 0; select(r : 1 .. RUNS);
		if
		:: order[r] != 0 -> carryOut(r, true)
		:: order[r] != 0 -> carryOut(r, false)
		:: else -> skip
		fi; check() }
	:: atomic { begun > 0; select(r : 1 .. RUNS);
		if
		:: r <= begun && !settled[r] -> stop(r, true)
		:: r <= begun && !settled[r] -> stop(r, false)
		:: else -> skip
		fi }
	:: atomic { look == 0; sendLook() }
	:: atomic { look == 1; answerLook() }
	:: atomic { look == 1; missPoll() }
	:: atomic { look == 2; takeIn(); check() }
	:: atomic { proof; commitEnds() }
	:: atomic { running != 0; finish(true) }
	:: atomic { running != 0; finish(false) }
	:: atomic { lapse() }
	:: atomic { tenure == 1; beginTenure() }
	od
}

/* order.pml: the runs of one task under orders that may be executed late.
 *
 * Two workers, two successive leaders, RUNS runs of one task. A sent start is never removed
 * from the network: the worker may execute it at any later time, also after newer calls,
 * and more than once. A leader begins a run only when every earlier run is settled, that
 * is, known to have ended. A run is settled by one of
 *  - its end in a report of the worker,
 *  - a report without the run, if the leader sent the poll after the worker had
 *    acknowledged a stop of the run,
 *  - a report without the run, if an earlier leader began the run: the poll carries the
 *    fence, and the worker refuses lower fences from then on,
 *  - the end of the worker's lease, after which it refuses orders issued before.
 *
 * Safety: the task never runs on both workers, and no run begins after another has
 * ended as done, unless the lease of that run's worker has expired since.
 *
 * Mutants: NO_FENCE_IN_LOOK (a worker doesn't adopt the fence of a poll),
 * SETTLE_WITHOUT_STOP (a report without a run settles it without any stop),
 * STOP_AFTER_SENDING (a stop counts that was acknowledged after the poll was sent),
 * NO_TOMBSTONE (a stop doesn't prevent a later start of the run), SETTLE_WITHOUT_LEASE (the
 * leader settles the runs of a worker that continues to run tasks and accept orders).
 */
#ifndef RUNS
#define RUNS 3
#endif
#define WORKERS 2

/* The leader: its fence, and its state of each run (numbered from 1). */
byte fence = 1;
byte begun = 0;                 /* runs committed so far */
byte at[RUNS + 1];              /* worker of a run */
bool settled[RUNS + 1];
bool own[RUNS + 1];             /* begun by the current leader */
bool acked[RUNS + 1];           /* the worker has acknowledged its stop */
bool taken = false;             /* the leader has recorded that a run ended as done */

/* The leader's poll of each worker: 0 none in flight, 1 sent, 2 answered by a report. */
byte look[WORKERS];
byte lookFence[WORKERS];
bool lookAcked[WORKERS * (RUNS + 1)];   /* stops acknowledged when the poll was sent */
byte listed[WORKERS];                   /* running in the report, 0 for none */
byte listedDone[WORKERS];               /* ended as done in the report, 0 for none */

/* Orders in the network: the fence of the start of each run, 0 for none. */
byte order[RUNS + 1];

/* Workers. */
byte seen[WORKERS];             /* highest fence received */
byte running[WORKERS];          /* run that is alive, 0 for none */
byte barred[WORKERS];           /* highest run stopped or ended */
byte done[WORKERS];             /* run that ended as done */
/* For assertions: a run has ended as done, and the worker's lease hasn't expired since. */
bool counts[WORKERS];

inline check() {
	assert(!(running[0] != 0 && running[1] != 0));
	assert(!(taken && (running[0] != 0 || running[1] != 0)));
}

inline begin(w) {
	begun++;
	at[begun] = w;
	settled[begun] = false;
	own[begun] = true;
	acked[begun] = false;
	order[begun] = fence;
}

/* carryOut executes the start of run r on its worker. */
inline carryOut(r) {
	if
	:: order[r] >= seen[at[r]] ->
		seen[at[r]] = order[r];
		if
		:: r > barred[at[r]] && running[at[r]] != r ->
			assert(!counts[0] && !counts[1]);
			running[at[r]] = r
		:: else -> skip
		fi
	:: else -> skip
	fi
}

/* stop executes a stop of run r on its worker; the acknowledgement may be lost. */
inline stop(r, answered) {
	if
	:: fence >= seen[at[r]] ->
		seen[at[r]] = fence;
#ifndef MUTANT_NO_TOMBSTONE
		if :: r > barred[at[r]] -> barred[at[r]] = r :: else -> skip fi;
#endif
		if :: running[at[r]] == r -> running[at[r]] = 0 :: else -> skip fi;
		if :: answered -> acked[r] = true :: else -> skip fi
	:: else -> skip
	fi
}

inline finish(w) {
	if
	:: running[w] != 0 ->
		done[w] = running[w];
		counts[w] = true;
		if :: running[w] > barred[w] -> barred[w] = running[w] :: else -> skip fi;
		running[w] = 0
	:: else -> skip
	fi
}

/* answerLook answers the poll of worker w with a report, unless its fence is outdated. */
inline answerLook(w) {
	if
	:: lookFence[w] >= seen[w] ->
#ifndef MUTANT_NO_FENCE_IN_LOOK
		seen[w] = lookFence[w];
#endif
		listed[w] = running[w];
		listedDone[w] = done[w];
		look[w] = 2
	:: else -> look[w] = 0
	fi
}

/* takeIn settles the runs that the report of worker w accounts for. */
inline takeIn(w) {
	i = 1;
	do
	:: i <= begun && at[i] == w && !settled[i] ->
		if
		:: listedDone[w] == i -> settled[i] = true; taken = true
		:: listedDone[w] != i && listed[w] != i ->
#ifdef MUTANT_SETTLE_WITHOUT_STOP
			settled[i] = true
#else
			if
			:: !own[i] -> settled[i] = true
#ifdef MUTANT_STOP_AFTER_SENDING
			:: own[i] && acked[i] -> settled[i] = true
#else
			:: own[i] && lookAcked[w * (RUNS + 1) + i] -> settled[i] = true
#endif
			:: else -> skip
			fi
#endif
		:: else -> skip
		fi;
		i++
	:: i <= begun && !(at[i] == w && !settled[i]) -> i++
	:: i > begun -> break
	od;
	look[w] = 0
}

/* lapse ends the lease of worker w, which refuses orders issued before. */
inline lapse(w) {
#ifndef MUTANT_SETTLE_WITHOUT_LEASE
	running[w] = 0;
#endif
	look[w] = 0;
	counts[w] = false;
	i = 1;
	do
	:: i <= begun && at[i] == w ->
#ifndef MUTANT_SETTLE_WITHOUT_LEASE
		order[i] = 0;
#endif
		settled[i] = true;
		i++
	:: i <= begun && at[i] != w -> i++
	:: i > begun -> break
	od
}

inline sendLook(w) {
	look[w] = 1;
	lookFence[w] = fence;
	i = 1;
	do
	:: i <= RUNS -> lookAcked[w * (RUNS + 1) + i] = acked[i]; i++
	:: else -> break
	od
}

inline newLeader() {
	fence = 2;
	look[0] = 0;
	look[1] = 0;
	i = 1;
	do
	:: i <= RUNS -> own[i] = false; acked[i] = false; i++
	:: else -> break
	od
}

inline mayBegin(ok) {
	ok = (begun < RUNS && !taken);
	i = 1;
	do
	:: i <= begun -> ok = ok && settled[i]; i++
	:: else -> break
	od
}

active proctype system() {
	byte i;
	byte w;
	byte r;
	bool ok;
	do
	:: atomic {
		mayBegin(ok);
		if
		:: ok -> if :: begin(0) :: begin(1) fi
		:: else -> skip
		fi }
	:: atomic { begun > 0; select(r : 1 .. RUNS);
		if :: r <= begun && order[r] != 0 -> carryOut(r); check() :: else -> skip fi }
	:: atomic { begun > 0; select(r : 1 .. RUNS);
		if
		:: r <= begun && !settled[r] -> stop(r, true)
		:: r <= begun && !settled[r] -> stop(r, false)
		:: else -> skip
		fi; check() }
	:: atomic { select(w : 0 .. 1);
		if
		:: look[w] == 0 -> sendLook(w)
		:: look[w] == 1 -> answerLook(w)
		:: look[w] == 2 -> takeIn(w); check()
		fi }
	:: atomic { select(w : 0 .. 1); finish(w) }
	:: atomic { select(w : 0 .. 1); lapse(w); check() }
	:: atomic { fence == 1; newLeader() }
	od
}

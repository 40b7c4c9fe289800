/*
 * One task, two leaders of the data centre's log and a worker with a lease: starts,
 * expiry, cancellation, and the final states "not run" and "unknown" that the customer
 * gets as an answer.
 *
 * The log is assumed to behave as log.pml verifies: committed state is one shared
 * state, and a leader of an old term can't commit. The old leader may be paused at
 * any moment and continue later with outdated state. Starts, stops and reports stay
 * readable for ever; one renewal is in flight, which may be delayed or lost.
 *
 * Time is a global tick. The worker's clock may lose up to DRIFT ticks between
 * sending a renewal and the end of the lease that the renewal brings. The worker
 * counts its lease from sending the renewal, the leader from receiving it. When its
 * lease ends, the worker stops its task and begins a new incarnation in the same
 * step; a restart does the same.
 *
 * Attempt 1 goes to this worker. Attempt 2 goes to another worker, which is kept
 * simple: it always has a lease. Attempt 2 may also be the first attempt made.
 *
 * Assumption: a leader's own lease ends before the next leader begins to decide.
 *
 * Safety: the task never runs on two workers at a time; non-idempotent work runs at
 * most once; "not run" is never answered for a task that ran or runs later.
 */
#ifndef TTL
#define TTL 2
#endif
#ifndef DRIFT
#define DRIFT 1
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 2
#endif
#ifndef IDEMPOTENT
#define IDEMPOTENT 1
#endif

#ifdef MUTANT_NO_DRIFT_MARGIN
#define OWNERTTL TTL
#else
#define OWNERTTL (TTL + DRIFT)
#endif

#define NONE      0
#define NOTRUN    1
#define UNKNOWN   2
#define CANCELLED 3
#define DONE      4

/* Committed state of the task. */
byte attempt;          /* latest committed attempt, 0 for none */
byte onInc;            /* incarnation that attempt 1 was given to */
byte goneInc;          /* incarnation that was declared gone */
byte inTerm;           /* term in which attempt 1 was committed */
bit over;              /* the latest attempt does not run and will not start */
bit mayHaveRun;        /* some attempt may have run */
bit cancelled;
byte answer;

/* Leaders. Arrays are indexed by term. */
byte term;             /* the only term that can commit */
bit deciding[3];       /* the leader's own lease holds */
byte left[3];          /* ticks until the worker's lease has certainly ended */
byte knownInc[3];      /* incarnation that renewed with this leader */

/* Messages. */
byte start[3];         /* start of attempt 1 by term: incarnation, 0 for none */
bit stopSent;
bit tombstoned;        /* report: attempt 1 never started and never will */
bit stopped;           /* report: attempt 1 stopped after its start */
bit ended;             /* report: attempt 1 ended by itself */
byte renewInc;         /* renewal in flight: incarnation, 0 for none */
byte renewTerm;        /* renewal in flight: latest term that the worker has received */
bit renewSeen;         /* renewal in flight: whether attempt 1 was started */
byte grantTerm;        /* grant in flight: term, 0 for none */
byte age;              /* local ticks since the renewal was sent */
byte ageSlow;          /* ticks that the worker's clock lost since the renewal was sent */

/* The worker. */
byte inc;
byte heard;            /* latest term received */
byte lease;            /* local ticks left */
byte leaseSlow;        /* ticks lost since the renewal that brought the lease was sent */
bit seen;              /* attempt 1 was started */
bit tomb;              /* tombstone: attempt 1 is refused for ever */
bit running;

/* The other worker. */
bit otherSeen;
bit otherTomb;
bit otherRunning;

/* For the assertions only: an attempt has run. */
bit ran;

hidden byte x;

inline lapse() {
	printf("the worker begins a new incarnation\n");
	running = 0;
	lease = 0;
	leaseSlow = 0;
	grantTerm = 0;
	heard = 0;
	seen = 0;
	tomb = 0;
#ifndef MUTANT_SAME_INCARNATION_AFTER_LAPSE
	inc++
#endif
}

/* The worker's clock may lose a tick, at most DRIFT of them between the sending of a
 * renewal and the end of its lease. */
#define CANBESLOW ((renewInc || grantTerm || lease) && ageSlow < DRIFT && leaseSlow < DRIFT)

inline tick(slow) {
	for (x : 1 .. 2) {
		if
		:: left[x] > 0 -> left[x]--
		:: else
		fi
	}
	if
	:: slow ->
		ageSlow++;
		if
		:: lease -> leaseSlow++
		:: else
		fi
	:: else ->
		if
		:: age < TTL -> age++
		:: else -> grantTerm = 0
		fi;
		if
		:: lease > 1 -> lease--
		:: lease == 1 -> lapse()
		:: else
		fi
	fi
}

#ifdef MUTANT_NO_TERM_CHECK
#define TERMOK(t) 1
#else
#define TERMOK(t) (t >= heard)
#endif
#ifdef MUTANT_NO_REPEAT_CHECK
#define NEW 1
#else
#define NEW (!seen)
#endif
#ifdef MUTANT_NO_LEASE_CHECK
#define LEASED 1
#else
#define LEASED (lease > 0)
#endif
#ifdef MUTANT_NO_INCARNATION_CHECK
#define INCOK(t) 1
#else
#define INCOK(t) (start[t] == inc)
#endif
#ifdef MUTANT_NO_TOMBSTONE
#define ALIVE 1
#else
#define ALIVE (!tomb)
#endif
#ifdef MUTANT_COUNT_FROM_GRANT
#define REMAINING TTL
#else
#define REMAINING (TTL - age)
#endif

inline begin() {
	assert(!running && !otherRunning);
	assert(IDEMPOTENT || !ran);
	assert(answer != NOTRUN);
	ran = 1
}

#define START(t) \
	:: d_step { \
		start[t] && INCOK(t) && TERMOK(t) && LEASED && NEW && ALIVE && !running -> \
		printf("the worker starts attempt 1 of term %d\n", t); \
		begin(); \
		running = 1; \
		seen = 1; \
		heard = t \
	}

proctype Worker() {
	do
	:: d_step { inc <= INCARNATIONS ->
		printf("the worker sends a renewal\n");
		renewInc = inc;
		renewTerm = heard;
		renewSeen = seen;
		grantTerm = 0;
		age = 0;
		ageSlow = 0
	}
	:: d_step { grantTerm && TERMOK(grantTerm) && REMAINING > 0 ->
		printf("the worker has a lease of term %d\n", grantTerm);
		lease = REMAINING;
		leaseSlow = ageSlow;
		heard = grantTerm;
		grantTerm = 0
	}
	START(1)
	START(2)
	:: d_step { stopSent && onInc == inc && !tomb ->
		printf("the worker accepts the stop\n");
		tomb = 1;
		if
		:: !seen -> tombstoned = 1
		:: running -> running = 0; stopped = 1
		:: else
		fi;
		skip
	}
	:: d_step { running -> printf("attempt 1 ends\n"); ended = 1; running = 0 }
	:: d_step { inc <= INCARNATIONS -> lapse(); skip }
	/* The other worker. */
	:: d_step { attempt == 2 && !otherSeen && !otherTomb ->
		printf("the other worker starts attempt 2\n");
		begin();
		otherSeen = 1;
		otherRunning = 1
	}
	:: d_step { attempt == 2 && cancelled && !otherSeen -> otherTomb = 1 }
	:: d_step { otherRunning -> otherRunning = 0 }
	/* Time. */
	:: d_step { true -> tick(0); skip }
	:: d_step { CANBESLOW -> printf("the worker's clock loses a tick\n"); tick(1); skip }
	od
}

/* gone records that the latest attempt doesn't run any longer but may have run. */
inline gone() {
	over = 1;
	goneInc = onInc;
#ifdef MUTANT_NOTRUN_ON_EXPIRY
	skip
#else
	mayHaveRun = 1
#endif
}

#ifdef MUTANT_STALE_LEADER_GRANTS
#define MAYGRANT(t) (t == 1 || deciding[t])
#else
#define MAYGRANT(t) (deciding[t])
#endif

/* A leader grants no lease to an incarnation that was declared gone. The declaration
 * is committed together with the loss of the attempt: a leader that relied on its own
 * memory would take the first renewal it sees of that incarnation for a live worker's.
 * A renewal also tells the outcome of attempt 1: a later incarnation runs nothing of an
 * earlier one, and a worker that has received the second term without having started
 * the attempt refuses the first leader's start from then on. */
#ifdef MUTANT_GONE_IN_MEMORY
#define NOTGONE(t) (left[t] > 0 || renewInc > knownInc[t])
#else
#define NOTGONE(t) (renewInc > goneInc)
#endif

#define RENEW(t) \
	:: d_step { \
		MAYGRANT(t) && renewInc && renewInc >= knownInc[t] && NOTGONE(t) -> \
		printf("leader %d grants a lease\n", t); \
		if \
		:: t == term && attempt == 1 && !over && onInc < renewInc -> gone() \
		:: t == term && t == 2 && attempt == 1 && !over && onInc == renewInc && renewTerm == 2 && !renewSeen && !start[2] -> over = 1 \
		:: else \
		fi; \
		knownInc[t] = renewInc; \
		left[t] = OWNERTTL; \
		grantTerm = (renewInc == inc && age < TTL -> t : 0); \
		renewInc = 0 \
	}

/* Attempt 2 is committed only when attempt 1 is over. If attempt 1 may have run, the
 * work must be idempotent. */
#ifdef MUTANT_RETRY_NON_IDEMPOTENT
#define RETRY 1
#else
#define RETRY (IDEMPOTENT || !mayHaveRun)
#endif
#ifdef MUTANT_RETRY_BEFORE_EXPIRY
#define FREE 1
#else
#define FREE (attempt == 0 || over)
#endif

#define OPEN(t) (t == term && deciding[t] && answer == NONE)

#define ASSIGN(t) \
	:: d_step { \
		OPEN(t) && !cancelled && attempt == 0 && left[t] > 0 && knownInc[t] -> \
		printf("leader %d commits attempt 1\n", t); \
		attempt = 1; \
		onInc = knownInc[t]; \
		inTerm = t \
	} \
	:: d_step { \
		OPEN(t) && !cancelled && attempt < 2 && FREE && RETRY -> \
		printf("leader %d commits attempt 2\n", t); \
		attempt = 2; \
		over = 0 \
	} \
	:: d_step { \
		t == term && deciding[t] && attempt == 1 && !over && left[t] == 0 -> \
		printf("leader %d declares attempt 1 gone\n", t); \
		gone() \
	}

/* The first leader sends a start that its term committed, however late; the second
 * sends the start of a committed attempt that isn't over. */
#define SEND1 (attempt > 0 && inTerm == 1)
#define SEND2 (OPEN(2) && attempt == 1 && !over)

inline say(what) {
	answer = what;
#ifdef WITNESS_NOTRUN_BY_TOMBSTONE
	assert(answer != NOTRUN || !tombstoned);
#endif
	assert(answer != NOTRUN || !ran)
}

proctype Leaders() {
	do
	RENEW(1)
	RENEW(2)
	ASSIGN(1)
	ASSIGN(2)
	:: d_step { SEND1 && !start[1] -> printf("leader 1 sends the start\n"); start[1] = onInc }
	:: d_step { SEND2 && !start[2] -> printf("leader 2 sends the start\n"); start[2] = onInc }
#ifdef MUTANT_SEND_BEFORE_COMMIT
	:: d_step { OPEN(1) && attempt == 0 && !start[1] && left[1] > 0 && knownInc[1] ->
		printf("leader 1 sends the start before its commit\n");
		start[1] = knownInc[1] }
#endif
	:: d_step { deciding[1] -> printf("the first leader's lease ends\n"); deciding[1] = 0 }
	:: d_step { term == 1 -> printf("a second leader is elected\n"); term = 2 }
	:: d_step { term == 2 && !deciding[1] && !deciding[2] ->
		printf("the second leader begins\n");
		deciding[2] = 1;
#ifndef MUTANT_NEW_LEADER_DOES_NOT_WAIT
		left[2] = OWNERTTL
#endif
	}
	/* Cancellation and answers are commits of the current leader. */
	:: d_step { OPEN(term) && !cancelled -> printf("cancelled\n"); cancelled = 1 }
	:: d_step { OPEN(term) && cancelled && (attempt == 0 || over) ->
		printf("answer: not run, or unknown\n");
		say((mayHaveRun -> UNKNOWN : NOTRUN)) }
	:: d_step { OPEN(term) && cancelled && attempt == 1 && !over && !stopSent -> printf("stop sent\n"); stopSent = 1 }
	:: d_step { OPEN(term) && attempt == 1 && !over && tombstoned -> over = 1 }
	:: d_step { OPEN(term) && attempt == 2 && !over && otherTomb -> over = 1 }
	:: d_step { OPEN(term) && attempt == 1 && stopped -> over = 1; say(CANCELLED) }
	:: d_step { OPEN(term) && attempt == 1 && ended -> over = 1; say(DONE) }
	:: d_step { OPEN(term) && !IDEMPOTENT && over && mayHaveRun -> say(UNKNOWN) }
	od
}

init {
	atomic {
		inc = 1;
		term = 1;
		deciding[1] = 1;
		left[1] = OWNERTTL;
		run Worker();
		run Leaders()
	}
}

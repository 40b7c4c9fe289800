/*
 * Handover of a job from one data centre to another and back. The log of each data
 * centre is assumed to behave as log.pml verifies: committed state survives every
 * crash, and an uncommitted decision is lost in a crash.
 *
 * Messages, once sent, stay readable for ever: this covers lost, delayed, reordered
 * and duplicated messages. Each offer of the job carries a hop number above all
 * earlier ones; a data centre stores the highest hop that it has answered and keeps
 * it after it has deleted the job.
 *
 * Safety: the job is never startable in both data centres, never lost, and runs at
 * most once.
 */
#ifndef HOPS
#define HOPS 4
#endif

/* Committed state by data centre. */
#define ABSENT  0
#define OWNED   1  /* may be started */
#define OFFERED 2  /* offered to the other data centre, answer pending */
#define RUNNING 3
byte state[2];
byte hop[2];
byte mark[2];      /* highest hop answered */

/* The committed answer of the receiver, by hop. */
#define NOANSWER 0
#define ACCEPTED 1
#define REFUSED  2
byte answer[HOPS + 1];

/* In memory only: an answer that is decided but not committed. */
byte decided[2];
byte decidedHop[2];

/* Messages. */
byte offer[HOPS + 1];    /* sender + 1, 0 if the hop wasn't offered */
bit accepted[HOPS + 1];
bit refused[HOPS + 1];

bit done;
byte runs;

inline check() {
	assert(!((state[0] == OWNED || state[0] == RUNNING) && (state[1] == OWNED || state[1] == RUNNING)));
	assert(runs <= 1);
	assert(done || state[0] != ABSENT || state[1] != ABSENT)
}

#ifdef MUTANT_NO_MARK
#define UNANSWERED(s, h) (state[s] == ABSENT)
#else
#define UNANSWERED(s, h) (mark[s] < h)
#endif
#ifdef MUTANT_NO_HOP_CHECK
#define CURRENT(s, h) 1
#else
#define CURRENT(s, h) (hop[s] == h)
#endif

#define RECEIVE(h) \
	:: d_step { h <= HOPS && offer[h] == 2 - s && UNANSWERED(s, h) && decided[s] == NOANSWER -> \
		decided[s] = ACCEPTED; decidedHop[s] = h } \
	:: d_step { h <= HOPS && offer[h] == 2 - s && UNANSWERED(s, h) && decided[s] == NOANSWER -> \
		decided[s] = REFUSED; decidedHop[s] = h } \
	:: d_step { h <= HOPS && offer[h] == 2 - s && MAYANSWER(s, h, ACCEPTED) && !accepted[h] -> \
		printf("%d sends its acceptance of hop %d\n", s, h); accepted[h] = 1 } \
	:: d_step { h <= HOPS && offer[h] == 2 - s && MAYANSWER(s, h, REFUSED) && !refused[h] -> \
		printf("%d sends its refusal of hop %d\n", s, h); refused[h] = 1 } \
	:: d_step { h <= HOPS && offer[h] == s + 1 && state[s] == OFFERED && CURRENT(s, h) && accepted[h] -> \
		printf("%d deletes the job after hop %d\n", s, h); state[s] = ABSENT; check() } \
	:: d_step { h <= HOPS && offer[h] == s + 1 && state[s] == OFFERED && CURRENT(s, h) && refused[h] -> \
		printf("%d takes the job back from hop %d\n", s, h); state[s] = OWNED; check() }

#ifdef MUTANT_ANSWER_BEFORE_COMMIT
#define MAYANSWER(s, h, a) (decided[s] == a && decidedHop[s] == h)
#else
#define MAYANSWER(s, h, a) (answer[h] == a)
#endif

proctype DataCentre(byte s) {
	do
	:: d_step { state[s] == OWNED && hop[s] < HOPS ->
		printf("%d commits hop %d\n", s, hop[s] + 1);
		hop[s]++;
		state[s] = OFFERED
	}
	:: d_step { state[s] == OFFERED && !offer[hop[s]] -> printf("%d sends hop %d\n", s, hop[s]); offer[hop[s]] = s + 1 }
#ifdef MUTANT_OFFER_BEFORE_COMMIT
	:: d_step { state[s] == OWNED && hop[s] < HOPS && !offer[hop[s] + 1] -> offer[hop[s] + 1] = s + 1 }
#endif
#ifdef MUTANT_TAKE_BACK_ON_TIMEOUT
	:: d_step { state[s] == OFFERED -> printf("%d takes the job back\n", s); state[s] = OWNED; check() }
#endif
#ifdef MUTANT_FORGET_ON_SENDING
	:: d_step { state[s] == OFFERED && offer[hop[s]] -> printf("%d deletes the job\n", s); state[s] = ABSENT; check() }
#endif
	RECEIVE(1) RECEIVE(2) RECEIVE(3) RECEIVE(4) RECEIVE(5)
	:: d_step { decided[s] == ACCEPTED ->
		printf("%d accepts hop %d\n", s, decidedHop[s]);
		state[s] = OWNED;
		hop[s] = decidedHop[s];
		mark[s] = decidedHop[s];
		answer[decidedHop[s]] = ACCEPTED;
		decided[s] = NOANSWER;
		decidedHop[s] = 0;
		check()
	}
	:: d_step { decided[s] == REFUSED ->
		printf("%d refuses hop %d\n", s, decidedHop[s]);
		mark[s] = decidedHop[s];
		answer[decidedHop[s]] = REFUSED;
		decided[s] = NOANSWER;
		decidedHop[s] = 0
	}
	:: d_step { decided[s] -> printf("%d crashes\n", s); decided[s] = NOANSWER; decidedHop[s] = 0 }
	:: d_step { state[s] == OWNED -> printf("%d starts the job\n", s); runs = (runs < 2 -> runs + 1 : 2); state[s] = RUNNING; check() }
	:: d_step { state[s] == RUNNING -> done = 1; state[s] = ABSENT }
	od
}

init {
	atomic {
		state[0] = OWNED;
		run DataCentre(0);
		run DataCentre(1)
	}
}

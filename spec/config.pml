/*
 * Versions of the configuration: committed in the global configuration log, adopted
 * into the log of one data centre, applied by the diskless instances of that data
 * centre. Both logs are assumed to behave as log.pml verifies. Pushed versions and
 * answers stay readable for ever, so that they may arrive late, repeatedly or never.
 *
 * An instance applies only versions that its data centre has adopted. After a restart
 * the instance serves requests only once the leader of its data centre, having confirmed
 * its leadership, has answered a request of the new incarnation for the version.
 *
 * Safety: the version that an instance serves never decreases, also across restarts.
 */
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef INSTANCES
#define INSTANCES 2
#endif
#define ANS(i, k) ((i) * (RESTARTS + 1) + (k))

byte committed;      /* latest version in the global configuration log */
byte adopted;        /* latest version in the data centre's log */
byte stale;          /* latest version known to a deposed leader of the data centre */

byte applied[INSTANCES];
bit serving[INSTANCES];
byte inc[INSTANCES];
bit asked[INSTANCES * (RESTARTS + 1)];
/* Version in the answer to each incarnation, + 1; 0 for no answer. */
byte answered[INSTANCES * (RESTARTS + 1)];
byte restarts;

byte highest[INSTANCES];  /* highest version ever served, for the assertion only */

inline serve(i) {
	if
	:: serving[i] ->
		assert(applied[i] >= highest[i]);
		highest[i] = applied[i]
	:: else
	fi
}

#ifdef MUTANT_NO_COMPARISON
#define NEWER(i, v) (v != applied[i])
#else
#define NEWER(i, v) (v > applied[i])
#endif
#ifdef MUTANT_APPLY_BEFORE_ADOPTION
#define PUSHED committed
#else
#define PUSHED adopted
#endif

/* A push of any version that was ever adopted may arrive at any time. */
#define PUSH(v) \
	:: d_step { v <= VERSIONS && v <= PUSHED && serving[i] && NEWER(i, v) -> \
		printf("instance %d applies %d\n", i, v); applied[i] = v; serve(i); skip }

#ifdef MUTANT_OLD_ANSWER
#define ANSWERTO(i, k) (k <= inc[i])
#else
#define ANSWERTO(i, k) (k == inc[i])
#endif
#define HEAR(k) \
	:: d_step { k <= RESTARTS && !serving[i] && ANSWERTO(i, k) && answered[ANS(i, k)] -> \
		printf("instance %d serves by an answer to incarnation %d\n", i, k); \
		applied[i] = answered[ANS(i, k)] - 1; serving[i] = 1; serve(i); skip }

proctype Instance(byte i) {
	do
	PUSH(1) PUSH(2) PUSH(3) PUSH(4)
	HEAR(0) HEAR(1) HEAR(2) HEAR(3)
	:: d_step { !serving[i] && !asked[ANS(i, inc[i])] -> asked[ANS(i, inc[i])] = 1 }
#ifdef MUTANT_SERVE_AT_ONCE
	:: d_step { !serving[i] -> serving[i] = 1; serve(i); skip }
#endif
	:: d_step { asked[ANS(i, inc[i])] && !answered[ANS(i, inc[i])] -> answered[ANS(i, inc[i])] = adopted + 1 }
#ifdef MUTANT_STALE_LEADER_ANSWERS
	:: d_step { asked[ANS(i, inc[i])] && !answered[ANS(i, inc[i])] -> answered[ANS(i, inc[i])] = stale + 1 }
#endif
	:: d_step { restarts < RESTARTS ->
		printf("instance %d restarts\n", i);
		restarts++;
		inc[i] = inc[i] + 1;
		applied[i] = 0;
		serving[i] = 0
	}
	od
}

#ifdef MUTANT_ADOPT_OLDER
#define ADOPTABLE(v) (v != adopted)
#else
#define ADOPTABLE(v) (v > adopted)
#endif

/* The data centre's leaders learn of committed versions late and in any order. */
#define ADOPT(v) \
	:: d_step { v <= VERSIONS && v <= committed && ADOPTABLE(v) -> printf("adopted %d\n", v); adopted = v }

proctype Logs() {
	do
	:: d_step { committed < VERSIONS -> committed++ }
	ADOPT(1) ADOPT(2) ADOPT(3) ADOPT(4)
	:: d_step { stale < adopted -> stale = adopted }
	od
}

init {
	byte n;
	atomic {
		do
		:: n < INSTANCES -> run Instance(n); n++
		:: else -> break
		od;
		run Logs()
	}
}

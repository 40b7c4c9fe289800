/* limit.pml: the limit of one customer, of whose TASKS tasks LIMIT may run at a time, under
 * two successive leaders and a limit that the operator lowers and raises.
 *
 * A decision uses a view of the committed state that may be old. The commit of a start
 * checks the limit again and counts the run as alive; the order is sent afterwards. A sent
 * order may be carried out at any later time, also after another leader has taken over, until
 * the worker has confirmed that the run is stopped or has ended: from then on the worker
 * refuses it. A run is counted until its end is committed, which the leader does only after
 * the worker's confirmation.
 *
 * Safety: never more runs are alive on the workers than the highest limit that was in force.
 *
 * Mutants: NO_COMMIT_CHECK (the commit doesn't check the limit), LOST_UNCOUNTED (a run whose
 * order got no answer is ended in the state without the worker's confirmation),
 * NEW_LEADER_FORGETS (the commit checks the starts of the current leader only),
 * SEND_BEFORE_COMMIT (the order is sent with the decision), STOPPING_UNCOUNTED (a run counts
 * as ended once its stop is sent).
 */
#ifndef TASKS
#define TASKS 3
#endif
#ifndef LIMIT
#define LIMIT 2
#endif
#ifndef CHANGES
#define CHANGES 2
#endif

/* Committed: runs counted as alive (by task), and the current limit, which starts at its
 * highest. */
bool counted[TASKS];
byte limit = LIMIT;
byte changes = 0;

/* Starts committed by the current leader, for the mutant. */
byte ownCount = 0;
bool second = false;

/* The decision: tasks that the leader has proposed and not committed. */
bool proposed[TASKS];

/* Orders in the network, stops sent, and on the workers: running, and refused for good. */
bool sent[TASKS];
bool stopSent[TASKS];
bool running[TASKS];
bool refused[TASKS];
bool over[TASKS];

byte i;
byte n;

inline countCommitted() {
	n = 0;
	i = 0;
	do
	:: i < TASKS -> if :: counted[i] -> n++ :: else fi; i++
	:: else -> break
	od
}

inline checkRunning() {
	n = 0;
	i = 0;
	do
	:: i < TASKS -> if :: running[i] -> n++ :: else fi; i++
	:: else -> break
	od;
	assert(n <= LIMIT)
}

/* pick sets t to any task. */
inline pick(t) {
	t = 0;
	do
	:: t < TASKS - 1 -> t++
	:: break
	od
}

active proctype leader() {
	byte t;
	do
	/* A decision: the view may be old, so any task that isn't over may be proposed. */
	:: atomic {
		pick(t);
		if
		:: !proposed[t] && !counted[t] && !sent[t] && !over[t] ->
			proposed[t] = true;
#ifdef MUTANT_SEND_BEFORE_COMMIT
			sent[t] = true
#endif
		:: else
		fi
	}
	/* The commit of a start. */
	:: atomic {
		pick(t);
		if
		:: proposed[t] ->
			proposed[t] = false;
			countCommitted();
#ifdef MUTANT_NEW_LEADER_FORGETS
			n = ownCount;
#endif
			if
#ifdef MUTANT_NO_COMMIT_CHECK
			:: true ->
#else
			:: n < limit ->
#endif
				counted[t] = true;
				ownCount++;
				sent[t] = true
			:: else
			fi
		:: else
		fi
	}
	/* A stop is sent for a run that is counted. */
	:: atomic {
		pick(t);
		if
		:: counted[t] && !stopSent[t] ->
			stopSent[t] = true;
#ifdef MUTANT_STOPPING_UNCOUNTED
			counted[t] = false
#endif
		:: else
		fi
	}
	/* The worker has confirmed that the run has ended or will never start: its end is
	 * committed. */
	:: atomic {
		pick(t);
		if
		:: counted[t] && (refused[t] || over[t]) && !running[t] -> counted[t] = false
#ifdef MUTANT_LOST_UNCOUNTED
		:: counted[t] && !running[t] -> counted[t] = false
#endif
		:: else
		fi
	}
	/* Another leader takes over: what was proposed may be committed or not. */
	:: atomic {
		!second ->
		second = true;
		ownCount = 0;
		i = 0;
		do
		:: i < TASKS -> if :: proposed[i] = false :: true fi; i++
		:: else -> break
		od
	}
	/* The operator changes the limit. */
	:: atomic {
		changes < CHANGES ->
		changes++;
		if
		:: limit > 1 -> limit = limit - 1
		:: limit < LIMIT -> limit = limit + 1
		fi
	}
	od
}

active proctype workers() {
	byte t;
	do
	/* An order is carried out, at any time after it was sent. */
	:: atomic {
		pick(t);
		if
		:: sent[t] && !refused[t] && !over[t] && !running[t] ->
			running[t] = true;
			checkRunning()
		:: else
		fi
	}
	/* A run ends by itself. */
	:: atomic {
		pick(t);
		if
		:: running[t] -> running[t] = false; over[t] = true
		:: else
		fi
	}
	/* A stop is carried out. */
	:: atomic {
		pick(t);
		if
		:: stopSent[t] -> running[t] = false; refused[t] = true
		:: else
		fi
	}
	od
}

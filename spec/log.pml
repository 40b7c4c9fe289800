/*
 * The replicated log of one group: elections, replication, commit, and the
 * recovery of a voter that restarted with an empty memory.
 *
 * The network is a set of messages that only grows. A message, once sent, may be
 * read by any member at any later time, any number of times, or never. This covers
 * loss, delay, reordering and duplication; a message sent before a crash stays
 * readable after it.
 *
 * Every step of a member is atomic. An append carries the whole prefix of the
 * leader's log up to some index. Entries are identified by index and term, which is
 * unique while a term has at most one leader; that is asserted.
 *
 * Bounds come from the command line:
 *   N        members                 TERMS    highest term
 *   LEN      longest log             CRASHES  restarts of single members
 *   DISKS    bit mask of members whose acknowledged state survives a restart
 *   START    bit mask of the voters at the start
 * Restrictions (for runs with more voters):
 *   CAMPAIGNERS, CRASHERS  bit masks of members that may campaign or crash
 *   LOST                   bit mask of members that never act
 *   CAMP2, CAMP3, CAMP4    as CAMPAIGNERS, for the campaigns in one term
 * Parts: COLD_START (see power.pml), MEMBERSHIP (see membership.pml).
 *
 * Member LEAD leads term 1 at the start, and all logs are empty; with SETTLED every
 * voter already holds a first entry of term 1, which is committed.
 */
#ifndef VOTERS
#define VOTERS 3
#endif
#define N VOTERS
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LEN
#define LEN 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef POWER
#define POWER 0
#endif
#ifndef DISKS
#define DISKS 0
#endif
#ifndef START
#define START ((1 << N) - 1)
#endif
#ifndef CAMPAIGNERS
#define CAMPAIGNERS 255
#endif
#ifndef CRASHERS
#define CRASHERS 255
#endif
#ifndef LEAD
#define LEAD 0
#endif
#ifndef CAMP2
#define CAMP2 CAMPAIGNERS
#endif
#ifndef CAMP3
#define CAMP3 CAMPAIGNERS
#endif
#ifndef CAMP4
#define CAMP4 CAMPAIGNERS
#endif
#ifndef LOST
#define LOST 0
#endif
#define MAYCAMPAIGN(i, t) HAS((t == 2 -> CAMP2 : (t == 3 -> CAMP3 : CAMP4)), i)
#define INCS (CRASHES + POWER + 1)

#define FOLLOWER   0
#define CANDIDATE  1
#define LEADER     2
#define RECOVERING 3

#define HAS(mask, j) (((mask) >> (j)) & 1)
/* Incarnation vectors: two bits for each member. */
#define KNOWN(vec, j) (((vec) >> (2 * (j))) & 3)
#define LEARN(vec, j, k) \
	if \
	:: KNOWN(vec, j) < (k) -> vec = (vec & ~(3 << (2 * (j)))) | ((k) << (2 * (j))) \
	:: else \
	fi

/* Array indices: entry k of member i; request of candidate c in term index t; vote by
 * incarnation k of voter v; acknowledgement of n entries by that incarnation; answer of
 * member j to recovering member r. */
#define AT(i, k)         ((i) * LEN + (k))
#define REQ(t, c)        ((t) * N + (c))
#define MSG(t, v, k)     (((t) * N + (v)) * INCS + (k))
#define ACK(t, v, k, n)  (MSG(t, v, k) * LEN + (n) - 1)
#define ANS(r, j)        ((r) * N + (j))

/* Members. */
byte term[N];
bit voted[N];      /* has voted in the current term */
byte role[N];
byte inc[N];       /* incarnation: number of restarts that lost the memory */
byte size[N];
byte lt[N * LEN];  /* terms of the entries */
byte com[N];       /* a leader's commit index */
short kn[N];       /* known incarnations: the latest of each member */

/* Messages. Array indices count terms from 0. */
byte rqlen[TERMS * N];  /* vote request: length of the log + 1, 0 for none */
byte rqlt[TERMS * N];   /* vote request: term of the last entry of the log */
byte vt[TERMS * N * INCS];   /* vote: candidate + 1 */
short vv[TERMS * N * INCS];  /* vote: incarnations that the voter knows */
byte ldr[TERMS];        /* leader + 1 */
byte glen[TERMS];       /* length of the log that the leader of the term sends */
byte gt[TERMS * LEN];   /* terms of the entries in that leader's log */
byte elen[TERMS];       /* length of the leader's log at its election */
bit ak[TERMS * N * INCS * LEN];   /* acknowledgement of a prefix */
short av[TERMS * N * INCS * LEN];  /* acknowledgement: incarnations known to its sender */
byte rat[N * N];  /* answer to a recovering member: term, 0 for none */
byte ral[N * N];  /* answer to a recovering member: log length + 1 if sent by the leader, else 0 */

/* Committed entries: term of the entry, and term of the leader that committed it. */
byte ct[LEN];
byte cb[LEN];
byte crashes;

#ifdef MEMBERSHIP
byte lm[N * LEN];  /* membership entries: bit mask of voters, 0 for a command */
byte gm[TERMS * LEN];  /* membership entries in the leader's log, by term */
byte rac[N * N];   /* answer to a recovering member: the leader's commit index */
#endif
#ifdef COLD_START
bit dur[LEN];           /* entry reported to survive a power loss of all members */
byte losses;            /* power losses of all members */
byte rqi[TERMS * N];    /* incarnation of a candidate */
byte ldi[TERMS];        /* incarnation of a leader */
byte ldg[TERMS];        /* value of lost at the leader's election, for assertions only */
byte lost;              /* number of times that every diskless voter had lost its state */
byte gr[TERMS * N];     /* vote of a blank voter for a cold start: code of candidate and own incarnation */
bit cq[TERMS * N];      /* candidate asks every voter for confirmation */
short cv[TERMS * N];    /* candidate's request for confirmation: incarnations that joined */
byte cc[TERMS * N];     /* confirmation of a cold start: code of candidate and own incarnation */
#ifdef ANSWERS_FIRST
byte said[N];           /* latest incarnation that reported to be blank */
#endif
bit cold[TERMS];        /* the leader of the term was elected by a cold start */
#endif

hidden byte x, y, z, m;

c_code {
/* config returns the bit mask of voters by the latest membership in i's log. */
static int config(int i) {
	int mask = START;
#ifdef MEMBERSHIP
	int k;
	for (k = 0; k < now.size[i]; k++)
		if (now.lm[i * LEN + k])
			mask = now.lm[i * LEN + k];
#endif
	return mask;
}

static int count(int mask) {
	int n = 0;
	for (; mask; mask >>= 1)
		n += mask & 1;
	return n;
}

/*
 * quorum reports whether consistent messages from a majority of i's voters exist.
 * kind 0: votes for i in term index t; kind n > 0: acknowledgements of the prefix
 * of n entries. No message may come from an incarnation that another member of the
 * quorum knows to be superseded. If need isn't 0, the quorum must contain a member
 * of that bit mask.
 */
static int quorum(int i, int t, int kind, int need) {
	int mask = config(i), combos = 1, combo, j, a, b;
	for (j = 0; j < N; j++)
		combos *= INCS + 1;
	for (combo = 0; combo < combos; combo++) {
		int rest = combo, members = 0, ok = 1;
		int at[N], vec[N];
		for (j = 0; j < N && ok; j++, rest /= INCS + 1) {
			int k = rest % (INCS + 1) - 1;
			if (k < 0)
				continue;
			if (!HAS(mask, j)) {
				ok = 0;
				break;
			}
			if (j == i) {
				ok = k == now.inc[i];
				vec[j] = now.kn[i];
			} else if (kind == 0) {
				ok = now.vt[MSG(t, j, k)] == i + 1;
				vec[j] = now.vv[MSG(t, j, k)];
			} else {
				ok = now.ak[ACK(t, j, k, kind)];
				vec[j] = now.av[ACK(t, j, k, kind)];
			}
			at[j] = k;
			members |= 1 << j;
		}
		if (!ok || 2 * count(members) <= count(mask))
			continue;
		if (need && !(members & need))
			continue;
#ifndef MUTANT_NO_INCARNATION_VECTOR
		for (a = 0; a < N; a++)
			for (b = 0; b < N; b++)
				if (HAS(members, a) && HAS(members, b) && a != b && KNOWN(vec[a], b) > at[b])
					ok = 0;
#endif
		if (ok)
			return 1;
	}
	return 0;
}

/* inconfig reports whether i is a voter by its own log. */
static int inconfig(int i) {
	return HAS(config(i), i);
}

/* best returns the leader of the highest term among the answers to r, or -1 if that
 * leader hasn't answered. */
static int best(int r) {
	int j, high = now.term[r], who = -1;
	for (j = 0; j < N; j++)
		if (now.rat[ANS(r, j)] > high)
			high = now.rat[ANS(r, j)];
	for (j = 0; j < N; j++)
		if (now.rat[ANS(r, j)] == high && now.ral[ANS(r, j)])
			who = j;
	return who;
}

/* majority reports whether r has answers from a majority of the members of mask, r
 * excluded. */
static int majority(int r, int mask) {
	int have = 0, j;
	mask &= ~(1 << r);
	for (j = 0; j < N; j++)
		if (HAS(mask, j) && now.rat[ANS(r, j)])
			have++;
	return 2 * have > count(mask);
}

/*
 * answered reports whether recovering member r has the answers that it needs: one
 * from the leader of the highest term among the answers, and answers from a majority
 * of the other voters. With membership changes, r needs the majority in each membership
 * of that leader's log, from the last committed one on.
 */
static int answered(int r) {
	int who = best(r), mask = START;
	if (who < 0)
		return 0;
#ifdef MUTANT_RECOVER_FROM_LEADER_ONLY
	return 1;
#endif
#ifdef MEMBERSHIP
#ifndef MUTANT_RECOVER_BY_START_MEMBERSHIP
	int k, t = now.rat[ANS(r, who)] - 1, last = now.ral[ANS(r, who)] - 1;
	for (k = 0; k < last; k++) {
#ifndef MUTANT_RECOVER_BY_LATEST_MEMBERSHIP
		if (k >= now.rac[ANS(r, who)] && !majority(r, mask))
			return 0;
#endif
		if (now.gm[t * LEN + k])
			mask = now.gm[t * LEN + k];
	}
#endif
#endif
	return majority(r, mask);
}

/* holds reports whether i's log contains every entry that was committed by a leader
 * of a term before t. */
static int holds(int i, int t) {
	int k;
	for (k = 0; k < LEN; k++)
		if (now.ct[k] && now.cb[k] < t && (now.size[i] <= k || now.lt[AT(i, k)] != now.ct[k]))
			return 0;
	return 1;
}

/* committed returns the number of committed entries at the start of i's log, the highest
 * commit index that i may have learned from earlier leaders. */
static int committed(int i) {
	int k;
	for (k = 0; k < now.size[i] && now.ct[k]; k++)
		;
	return k;
}

/* elected reports whether term index u has a leader whose log hasn't been lost with the
 * state of all diskless voters. */
static int elected(int u) {
	if (!now.ldr[u])
		return 0;
#ifdef COLD_START
	return HAS(DISKS, now.ldr[u] - 1) || now.ldg[u] == now.lost;
#else
	return 1;
#endif
}

/* later reports whether the log of every leader elected after term t began with the
 * first n entries of member i. */
static int later(int i, int t, int n) {
	int u, k;
	for (u = t; u < TERMS; u++)
		for (k = 0; k < n && elected(u); k++)
			if (now.elen[u] <= k || now.gt[u * LEN + k] != now.lt[AT(i, k)])
				return 0;
	return 1;
}

/* extends reports whether i's log begins with the first n entries sent in term index t,
 * so that an append doesn't truncate it. */
static int extends(int i, int t, int n) {
	int k;
	if (now.size[i] < n)
		return 0;
	for (k = 0; k < n; k++)
		if (now.lt[AT(i, k)] != now.gt[t * LEN + k])
			return 0;
	return 1;
}
}

#define LASTTERM(i) (size[i] -> lt[AT(i, (size[i] -> size[i] - 1 : 0))] : 0)

inline publish(i, t) {
	for (x : 0 .. LEN - 1) {
		gt[(t) * LEN + x] = (x < size[i] -> lt[AT(i, x)] : 0);
#ifdef MEMBERSHIP
		gm[(t) * LEN + x] = (x < size[i] -> lm[AT(i, x)] : 0);
#endif
	}
	glen[t] = size[i];
}

inline copyLog(i, t, n) {
	for (x : 0 .. LEN - 1) {
		lt[AT(i, x)] = (x < (n) -> gt[(t) * LEN + x] : 0);
#ifdef MEMBERSHIP
		lm[AT(i, x)] = (x < (n) -> gm[(t) * LEN + x] : 0);
#endif
	}
	size[i] = n;
}

inline becomeLeader(i, t) {
#ifdef COLD_START
	/* At most one leader in a term, except for leaders whose incarnation is superseded. */
	assert(ldr[t] == 0 || inc[ldr[t] - 1] > ldi[t]);
	ldi[t] = inc[i];
	ldg[t] = lost;
	cold[t] = 0;
#else
	assert(ldr[t] == 0);  /* at most one leader in a term */
#endif
	assert(c_expr { holds (PMember->i, now.term[PMember->i]) });
	role[i] = LEADER;
	com[i] = 0;
#ifdef MEMBERSHIP
	com[i] = c_expr { committed (PMember->i) };
#endif
	ldr[t] = i + 1;
	publish(i, t);
	elen[t] = size[i];
}

inline appendEntry(i, membership) {
	lt[AT(i, size[i])] = term[i];
#ifdef MEMBERSHIP
	lm[AT(i, size[i])] = membership;
#endif
	size[i] = size[i] + 1;
	publish(i, term[i] - 1);
}

inline forget(i) {
	role[i] = FOLLOWER;
	com[i] = 0;
	if
	:: HAS(DISKS, i)
	:: else ->
		term[i] = 0;
		voted[i] = 0;
		size[i] = 0;
		kn[i] = 0;
		for (x : 0 .. LEN - 1) {
			lt[AT(i, x)] = 0;
#ifdef MEMBERSHIP
			lm[AT(i, x)] = 0;
#endif
		}
		for (x : 0 .. N - 1) {
			rat[ANS(i, x)] = 0;
			ral[ANS(i, x)] = 0;
#ifdef MEMBERSHIP
			rac[ANS(i, x)] = 0;
#endif
		}
		inc[i] = inc[i] + 1;
#ifndef MUTANT_NO_RECOVERY
		role[i] = RECOVERING;
#endif
	fi
}

#ifdef MUTANT_OLD_TERM_COMMIT
#define OWNTERM(i, n) 1
#else
#define OWNTERM(i, n) (lt[AT(i, (n) - 1)] == term[i])
#endif
#ifdef MUTANT_NO_LOG_COMPARISON
#define UPTODATE(i, t, c) 1
#else
#define UPTODATE(i, t, c) (rqlt[REQ(t, c)] > LASTTERM(i) || (rqlt[REQ(t, c)] == LASTTERM(i) && rqlen[REQ(t, c)] - 1 >= size[i]))
#endif

/* record marks the first n entries of i's log as committed. ct and cb hold committed
 * entries only until MEMORYLOST clears those that are lost. */
inline record(i, n) {
	for (x : 0 .. n - 1) {
		assert(ct[x] == 0 || ct[x] == lt[AT(i, x)]);
		if
		:: ct[x] == 0 || cb[x] > term[i] -> cb[x] = term[i]
		:: else
		fi;
		ct[x] = lt[AT(i, x)];
	}
	com[i] = n;
}

/* An append that acknowledges nothing beyond the settled first entry is a heartbeat. */
#ifdef SETTLED
#define ACKED(n) (n > 1)
#else
#define ACKED(n) 1
#endif
#define FRESH(t, n) (ACKED(n) -> !ak[ACK(t - 1, i, inc[i], n)] : (term[i] < t || role[i] != FOLLOWER))

#ifndef COLD_START
#define MEMORYLOST skip
#define NOTEREQUEST(t) skip
#define LIVEREQUEST(t, c) 1
#define LIVELEADER(t) 1
#endif

#ifdef MEMBERSHIP
#define NOTECOMMIT(r) rac[ANS(r, i)] = (role[i] == LEADER -> com[i] : 0);
#else
#define NOTECOMMIT(r)
#endif

#define CAMPAIGN(t) \
	:: d_step { \
		role[i] != RECOVERING && MAYCAMPAIGN(i, t) && term[i] < t && t <= TERMS && INCONFIG -> \
		printf("%d campaigns in term %d\n", i, t); \
		term[i] = t; \
		voted[i] = 1; \
		role[i] = CANDIDATE; \
		rqlen[REQ(t - 1, i)] = size[i] + 1; \
		rqlt[REQ(t - 1, i)] = LASTTERM(i); \
		NOTEREQUEST(t) \
	}

#define VOTE(t, c) \
	:: d_step { \
		t <= TERMS && c < N && c != i && rqlen[REQ(t - 1, c)] > 0 && role[i] != RECOVERING && \
		(term[i] < t || (term[i] == t && !voted[i])) && UPTODATE(i, t - 1, c) && LIVEREQUEST(t, c) -> \
		printf("%d votes in term %d for %d\n", i, t, c); \
		term[i] = t; \
		voted[i] = 1; \
		role[i] = FOLLOWER; \
		vt[MSG(t - 1, i, inc[i])] = c + 1; \
		vv[MSG(t - 1, i, inc[i])] = kn[i] \
	}

#define WIN(t) \
	:: d_step { \
		t <= TERMS && role[i] == CANDIDATE && term[i] == t && c_expr { quorum (PMember->i, t - 1, 0, 0) } -> \
		printf("%d leads term %d\n", i, t); \
		becomeLeader(i, t - 1); \
		skip \
	}

#define APPEND(t, n) \
	:: d_step { \
		t <= TERMS && n <= LEN && ldr[t - 1] > 0 && ldr[t - 1] != i + 1 && n <= glen[t - 1] && \
		role[i] != RECOVERING && term[i] <= t && LIVELEADER(t) && FRESH(t, n) -> \
		printf("%d appends %d entries of term %d\n", i, n, t); \
		if \
		:: term[i] < t -> term[i] = t; voted[i] = 0 \
		:: else \
		fi; \
		role[i] = FOLLOWER; \
		if \
		:: c_expr { extends (PMember->i, t - 1, n) } \
		:: else -> copyLog(i, t - 1, n) \
		fi; \
		if \
		:: ACKED(n) -> \
			ak[ACK(t - 1, i, inc[i], n)] = 1; \
			av[ACK(t - 1, i, inc[i], n)] = kn[i] \
		:: else \
		fi; \
		skip \
	}

#define COMMIT(n) \
	:: d_step { \
		n <= LEN && role[i] == LEADER && size[i] >= n && com[i] < n && OWNTERM(i, n) && \
		c_expr { quorum (PMember->i, now.term[PMember->i] - 1, n, 0) } -> \
		printf("%d commits %d\n", i, n); \
		assert(c_expr { later (PMember->i, now.term[PMember->i], n) }); \
		record(i, n); \
		skip \
	}

#define ANSWER(r) \
	:: d_step { \
		r < N && r != i && role[r] == RECOVERING && role[i] != RECOVERING && \
		(rat[ANS(r, i)] < term[i] || (role[i] == LEADER && ral[ANS(r, i)] == 0)) -> \
		printf("%d answers recovering %d\n", i, r); \
		LEARN(kn[i], r, inc[r]); \
		rat[ANS(r, i)] = term[i]; \
		ral[ANS(r, i)] = (role[i] == LEADER -> size[i] + 1 : 0); \
		NOTECOMMIT(r) \
		for (y : 0 .. N - 1) { \
			LEARN(kn[r], y, KNOWN(kn[i], y)) \
		}; \
		skip \
	}

#ifdef MEMBERSHIP
#define INCONFIG c_expr { inconfig (PMember->i) }
#else
#define INCONFIG 1
#endif

/* recovered ends i's recovery with the leader's log. The vote of the term counts as
 * given, since an earlier incarnation may have voted. */
inline recovered(i) {
	y = c_expr { best (PMember->i) };
	term[i] = rat[ANS(i, y)];
	z = ral[ANS(i, y)] - 1;
#ifdef MUTANT_VOTE_NOT_SPENT
	voted[i] = 0;
#else
	voted[i] = 1;
#endif
#ifdef MUTANT_RECOVER_WITHOUT_LOG
	z = 0;
#endif
	copyLog(i, term[i] - 1, z);
#ifdef WITNESS_RECOVERY_AFTER_REPAIR
	assert(z < 3 || c_expr { unrepaired (PMember->i) });
#endif
	role[i] = FOLLOWER;
	for (x : 0 .. N - 1) {
		rat[ANS(i, x)] = 0;
		ral[ANS(i, x)] = 0;
	}
}

#ifdef COLD_START
#include "power.inc"
#endif
#ifdef MEMBERSHIP
#include "membership.inc"
#endif

proctype Member(byte i) {
	do
	CAMPAIGN(2) CAMPAIGN(3) CAMPAIGN(4)
	VOTE(2, 0) VOTE(2, 1) VOTE(2, 2) VOTE(2, 3) VOTE(2, 4)
	VOTE(3, 0) VOTE(3, 1) VOTE(3, 2) VOTE(3, 3) VOTE(3, 4)
	VOTE(4, 0) VOTE(4, 1) VOTE(4, 2) VOTE(4, 3) VOTE(4, 4)
	WIN(2) WIN(3) WIN(4)
	APPEND(1, 1) APPEND(1, 2) APPEND(1, 3)
	APPEND(2, 1) APPEND(2, 2) APPEND(2, 3)
	APPEND(3, 1) APPEND(3, 2) APPEND(3, 3)
	APPEND(4, 1) APPEND(4, 2) APPEND(4, 3)
	ANSWER(0) ANSWER(1) ANSWER(2) ANSWER(3) ANSWER(4)
#ifdef COLD_START
	POWER_STEPS
#else
	COMMIT(1) COMMIT(2) COMMIT(3)
#endif
#ifdef MEMBERSHIP
	MEMBERSHIP_STEPS
#endif
	:: d_step { role[i] == LEADER && size[i] < LEN -> printf("%d writes in term %d\n", i, term[i]); appendEntry(i, 0); skip }
	:: d_step { role[i] == RECOVERING && c_expr { answered (PMember->i) } -> printf("%d has recovered\n", i); recovered(i); skip }
	:: d_step { crashes < CRASHES && HAS(CRASHERS, i) -> printf("%d crashes\n", i); crashes++; forget(i); MEMORYLOST; skip }
	od
}

init {
	d_step {
		for (x : 0 .. N - 1) {
			if
			:: HAS(START, x) -> term[x] = 1; voted[x] = 1
			:: else
			fi
		}
		role[LEAD] = LEADER;
		ldr[0] = LEAD + 1;
#ifdef SETTLED
		for (x : 0 .. N - 1) {
			if
			:: HAS(START, x) -> size[x] = 1; lt[AT(x, 0)] = 1
			:: else
			fi
		}
		publish(LEAD, 0);
		com[LEAD] = 1;
		ct[0] = 1;
		cb[0] = 1;
#endif
		skip
	}
	atomic {
		m = 0;
		do
		:: m < N ->
			if
			:: !HAS(LOST, m) -> run Member(m)
			:: else
			fi;
			m++
		:: else -> break
		od
	}
}

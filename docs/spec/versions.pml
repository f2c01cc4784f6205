/*
 * Versions of the configuration.
 *
 * Two operators race with submissions against the version that each has read.
 * Writes may be lost or take effect late, reads may be stale. Checked: the head
 * never goes back, one submission wins each version, a submission that was told
 * "accepted" is in force and one that was told "refused" or "conflict" never
 * comes into force, however late a lost write arrives; a follower never goes
 * back.
 *
 * The Go code is internal/version/submit.go and follower.go. -DBROKEN settles a
 * lost write by reading alone: the checker must reject that.
 */
#define N 2
#define MAXROW 6
#define NONE 9

mtype = { OK, CONFLICT, UNAVAILABLE, LOST }
mtype = { PENDING, ACCEPTED, REFUSED }

byte head = 0;		/* the content of the head row: the newest version */
byte row = 0;		/* the version of the head row in the table */
byte winner[4];		/* which submission won a version */
byte oldHead = 0;
byte oldRow = 0;
byte oldWinner = NONE;	/* of the version after oldHead */

bool lateOn[N];
byte lateRow[N];
byte lateHead[N];
mtype verdict[N];

inline apply(abase, anext, ame, ares) {
	if
	:: row == abase && row < MAXROW ->
		oldHead = head; oldRow = row;
		if
		:: anext > head ->
			assert(verdict[ame] != REFUSED);
			assert(winner[anext] == NONE);
			winner[anext] = ame
		:: else -> skip
		fi;
		assert(anext >= head);
		head = anext; row++; ares = OK
	:: else -> ares = CONFLICT
	fi
}

inline write(wbase, wnext, wme, wres) {
	atomic {
		if
		:: true -> apply(wbase, wnext, wme, wres)
		:: wres = UNAVAILABLE
		:: true -> apply(wbase, wnext, wme, wres); wres = LOST
		:: !lateOn[wme] -> lateOn[wme] = true; lateRow[wme] = wbase; lateHead[wme] = wnext; wres = LOST
		fi
	}
}

active proctype Network() {
	mtype r;
end:	do
	:: atomic { lateOn[0] -> apply(lateRow[0], lateHead[0], 0, r); lateOn[0] = false }
	:: atomic { lateOn[1] -> apply(lateRow[1], lateHead[1], 1, r); lateOn[1] = false }
	od
}

proctype Submission(byte me) {
	byte base, brow, rhead, rrow, rwin;
	mtype res;

	atomic { base = head; brow = row };
	write(brow, base + 1, me, res);
	if
	:: res == OK -> goto accepted
	:: res == CONFLICT -> goto settle
	:: res == UNAVAILABLE -> goto refused
	:: res == LOST ->
#ifdef BROKEN
		goto settle
#else
		goto exclude
#endif
	fi;

exclude:
	if
	:: goto given		/* patience is at an end: "unknown" */
	:: write(brow, base, me, res)
	fi;
	if
	:: res == OK -> goto refused
	:: res == CONFLICT -> goto settle
	:: else -> goto exclude
	fi;

settle:	if
	:: goto given
	:: atomic { rhead = head; rrow = row; rwin = winner[base + 1] }
	:: atomic { rhead = oldHead; rrow = oldRow; rwin = NONE }
	fi;
	if
#ifdef BROKEN
	:: rhead <= base -> goto refused
#else
	:: rrow <= brow -> goto settle
	:: rrow > brow && rhead <= base -> goto refused
#endif
	:: rhead > base && rwin == NONE -> goto settle
	:: rhead > base && rwin == me -> goto accepted
	:: rhead > base && rwin != me && rwin != NONE -> goto refused
	fi;

accepted:
	verdict[me] = ACCEPTED;
	assert(winner[base + 1] == me);
	goto given;
refused:
	atomic { verdict[me] = REFUSED; assert(winner[base + 1] != me) };
given:	skip
}

/* A follower takes what any read shows, if it is newer. */
active proctype Follower() {
	byte have = 0, seen, before;
	byte looks = 0;
	do
	:: looks < 3 ->
		looks++;
		if
		:: seen = head
		:: seen = oldHead
		fi;
		before = have;
		if
		:: seen > have -> have = seen
		:: else -> skip
		fi;
		assert(have >= before)
	:: looks == 3 -> break
	od
}

init {
	atomic {
		winner[0] = NONE; winner[1] = NONE; winner[2] = NONE; winner[3] = NONE;
		verdict[0] = PENDING; verdict[1] = PENDING;
		run Submission(0); run Submission(1)
	}
}

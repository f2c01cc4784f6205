/*
 * Claims of requests that must run at most once.
 *
 * One key, N claims at different boxes, one row in the table. A write may be
 * answered, refused without effect, have its answer lost after the effect, or
 * have its answer lost and take effect later. Reads may be stale. Boxes crash
 * at any point. Checked: the request is sent at most once in all; a claim that
 * was told "not run" never sends; every claim ends.
 *
 * The Go code is internal/claim/step.go. -DBROKEN lets a claim take over a row
 * that another one holds, as if its holder were known to be gone: the checker
 * must reject that.
 */
#ifndef N
#define N 2	/* -DN=3 takes minutes and some gigabytes */
#endif
#define MAXVER 4

mtype = { ABSENT, HELD, NOTRUN, DONE }
mtype = { OK, CONFLICT, UNAVAILABLE, LOST }

mtype st = ABSENT;	/* the row */
byte own = N;
byte ver = 0;
mtype oldst = ABSENT;	/* what a stale read shows */
byte oldown = N;
byte oldver = 0;

bool lateOn[N];		/* a write that takes effect later */
byte lateBase[N];
mtype lateKind[N];

byte sends = 0;
bool toldNotRun[N];
bool sent[N];

inline apply(abase, akind, ame, ares) {
	if
	:: ver == abase && ver < MAXVER ->
		oldst = st; oldown = own; oldver = ver;
		ver++; st = akind; own = ame; ares = OK
	:: else -> ares = CONFLICT
	fi
}

inline write(wbase, wkind, wme, wres) {
	atomic {
		if
		:: true -> apply(wbase, wkind, wme, wres)
		:: wres = UNAVAILABLE
		:: true -> apply(wbase, wkind, wme, wres); wres = LOST
		:: !lateOn[wme] ->
			lateOn[wme] = true; lateBase[wme] = wbase; lateKind[wme] = wkind; wres = LOST
		fi
	}
}

/* Late writes take effect at any time. */
active proctype Network() {
	byte i;
	mtype r;
end:	do
	:: atomic { lateOn[0] -> apply(lateBase[0], lateKind[0], 0, r); lateOn[0] = false }
	:: atomic { lateOn[1] -> apply(lateBase[1], lateKind[1], 1, r); lateOn[1] = false }
#if N > 2
	:: atomic { lateOn[2] -> apply(lateBase[2], lateKind[2], 2, r); lateOn[2] = false }
#endif
	od
}

proctype Claim(byte me) {
	byte base = 0;
	byte rver, rown;
	mtype rst, res;
	bool open;

insert:	open = true;
	write(base, HELD, me, res);
	if
	:: res == OK -> goto send
	:: res == CONFLICT -> open = false; goto read
	:: res == UNAVAILABLE -> goto notrun
	:: res == LOST -> goto exclude
	fi;

exclude:
	if
	:: goto notrun		/* the deadline */
	:: goto crashed
	:: write(base, NOTRUN, me, res)
	fi;
	if
	:: res == OK -> open = false; goto read
	:: res == CONFLICT -> goto read
	:: else -> goto exclude
	fi;

read:	if
	:: goto notrun		/* the deadline, or a store that gives no answer */
	:: goto crashed
	:: atomic { rst = st; rown = own; rver = ver }
	:: atomic { rst = oldst; rown = oldown; rver = oldver }
	fi;
	if
	:: rver == 0 && open -> goto exclude
	:: rver == 0 && !open -> base = 0; goto insert
	:: rver > 0 && rown == me && rst == HELD && open -> goto send
	:: rver > 0 && rown == me && rst == HELD && !open -> goto read
	:: rver > 0 && !(rown == me && rst == HELD) && open && rver <= base -> goto exclude
	:: rver > 0 && !(rown == me && rst == HELD) && !(open && rver <= base) ->
		open = false;
		if
		:: rst == NOTRUN -> base = rver; goto insert
#ifdef BROKEN
		:: rst == HELD -> base = rver; goto insert
#else
		:: rst == HELD -> goto done	/* running, or unknown */
#endif
		:: rst == DONE -> goto done
		fi
	fi;

send:	if
	:: goto crashed
	:: skip
	fi;
	if
	:: sends++; sent[me] = true;
		assert(sends <= 1);
		atomic {
			if
			:: own == me && st == HELD && ver < MAXVER ->
				oldst = st; oldown = own; oldver = ver;
				ver++; st = DONE
			:: else -> skip
			:: skip		/* the box crashes before it writes */
			fi
		}
	:: atomic {	/* no target took it: the claim is given back */
			if
			:: own == me && st == HELD && ver < MAXVER ->
				oldst = st; oldown = own; oldver = ver;
				ver++; st = NOTRUN
			:: else -> skip
			fi
		};
		goto notrun
	fi;
	goto done;

notrun:	toldNotRun[me] = true;
done:	assert(!(toldNotRun[me] && sent[me]));
crashed: skip
}

init {
	atomic {
		run Claim(0); run Claim(1);
#if N > 2
		run Claim(2)
#endif
	}
}

/*
 * Orders to a target that does not check fencing tokens.
 *
 * Issuers hold a lease that may lapse at any moment, also while its holder is
 * paused and does not know. Checked: no order takes effect after one with a
 * higher token.
 *
 * The Go code is internal/keeper/order.go and issuer.go. -DBROKEN sends an order
 * under the lease alone, without an intent: the checker must reject that.
 */
#define N 2
#define NOBODY 9
#define MAXTOKEN 4

byte leaseHolder = NOBODY;
byte leaseToken = 0;
bool intentOpen = false;
byte intentHolder = NOBODY;
bool gone[N];		/* the issuer is known to have ended */
byte lastToken = 0;	/* the highest token of an order that took effect */

inline send(token) {
	atomic {
		assert(token >= lastToken);	/* no stale order takes effect */
		lastToken = token
	}
}

proctype Issuer(byte me) {
	byte token;
	byte rounds = 0;
end:	do
	:: rounds >= 3 -> break
	:: rounds < 3 ->
		rounds++;
		/* Take the lease: the other's may have lapsed. */
		atomic {
			if
			:: leaseHolder == me -> skip
			:: leaseHolder != me && leaseToken < MAXTOKEN ->
				leaseToken++; leaseHolder = me
			:: else -> goto over
			fi;
			token = leaseToken
		};
#ifdef BROKEN
		send(token);
#else
		/* Announce, if no other issuer may yet send and the lease is ours. */
		atomic {
			if
			:: leaseHolder == me && leaseToken == token && (!intentOpen || intentHolder == me || gone[intentHolder]) ->
				intentOpen = true; intentHolder = me
			:: else -> goto again
			fi
		};
		/* Here the issuer may be paused for any time, or crash. */
		if
		:: gone[me] = true; goto over
		:: skip
		fi;
		send(token);
		if
		:: gone[me] = true; goto over
		:: skip
		fi;
		atomic {
			if
			:: intentOpen && intentHolder == me -> intentOpen = false
			:: else -> skip
			fi
		};
again:		skip
#endif
	od;
over:	skip
}

init {
	atomic { run Issuer(0); run Issuer(1) }
}

/*
 * At-most-once tickets (core/once, proxy).
 *
 * A ticket is an idempotency key with a bounded lifetime. One caller requests
 * one operation that may run at most once. It sends it with ticket 1 through any
 * of several entries, retries it at will, and uses ticket 2 only after the
 * response "not run" for ticket 1. Requests and responses are lost, delayed and
 * reordered. The node that holds the tickets restarts, its table fills up,
 * tickets expire, its clock steps back. When the node restarts, the upstream goes
 * on running the requests that it has received.
 *
 * Property: the operation runs at most once over all tickets.
 *
 * Each mutant removes one rule:
 */
// MUTANT: NO_BOOT_CHECK       a restarted node runs tickets of an earlier boot
// MUTANT: NO_CUTOFF           a ticket refused at the bound is not remembered
// MUTANT: NO_REFUSED          a ticket refused by admission may run later
// MUTANT: FORGET_EARLY        a used ticket is forgotten before it expires
// MUTANT: CLOCK_BACK          an expired ticket is valid again
// MUTANT: NOT_RUN_AFTER_SEND  "not run" is said although the upstream may run it
// MUTANT: RUN_WHILE_RUNNING   a repeat runs while the first use runs

#define TICKETS 2
#define COPIES 3  /* requests in flight at a time, through any entry */
#define SENDS 4   /* requests that the caller sends in total */
#define BOOTS 2

mtype = { unused, running, done, notrun, unknown };

/* The holder's table: once.Table. */
mtype use[TICKETS + 1] = unused;
byte cutoff = 0;             /* tickets up to this one are refused if unused */
byte boot = 1;
bool expired[TICKETS + 1];   /* by the holder's clock, which may step back */
bool ever_expired[TICKETS + 1];

byte ticket_boot[TICKETS + 1];

/* Requests that the guard has sent to the upstream and that have not started. */
byte at_upstream[TICKETS + 1];
bool sent[TICKETS + 1]; /* the running first use has been sent to the upstream */
byte runs = 0;

chan request = [COPIES] of { byte };
chan answer = [COPIES] of { byte, mtype };

/* Responses may be lost; with a full channel they always are. */
inline reply(t, verdict) {
	if
	:: nfull(answer) -> answer ! t, verdict
	:: true -> skip
	fi
}

/* once.Signer.Encode at any node; the boot id it knows may be stale. */
inline issue(t) {
	if
	:: ticket_boot[t] = boot
	:: ticket_boot[t] = 1
	fi;
	printf("STEP issue %d %d\n", t, ticket_boot[t])
}

/* once.Table.Begin */
inline begin(t) {
	printf("STEP begin %d\n", t);
	if
#ifndef NO_BOOT_CHECK
	:: ticket_boot[t] != boot -> reply(t, unknown)
#endif
	:: else ->
		if
		:: use[t] == running ->
#ifdef RUN_WHILE_RUNNING
			at_upstream[t]++
#else
			skip /* the duplicate waits; its caller may time out */
#endif
		:: use[t] == done || use[t] == notrun || use[t] == unknown -> reply(t, use[t])
		:: use[t] == unused && expired[t] -> reply(t, unknown)
		:: use[t] == unused && !expired[t] -> first(t)
		fi
	fi
}

/* once.Table.recordFirst */
inline first(t) {
	if
	:: t <= cutoff -> reply(t, notrun)
	:: t > cutoff -> use[t] = running
	:: t > cutoff -> /* the table is full */
		printf("STEP full %d\n", t);
#ifndef NO_CUTOFF
		cutoff = t;
#endif
		reply(t, notrun)
	fi
}

/* once.Table.Finish: the first outcome is final. */
inline finish(t, verdict) {
	printf("STEP finish %d %e\n", t, verdict);
	use[t] = verdict;
#ifdef NO_REFUSED
	if
	:: verdict == notrun -> use[t] = unused
	:: else -> skip
	fi;
#endif
	if
	:: expired[t] -> use[t] = unused /* evicted */
	:: else -> skip
	fi;
	reply(t, verdict)
}

/* once.Table.advance */
inline expire(t) {
	printf("STEP expire %d\n", t);
	ever_expired[t] = true;
	expired[t] = true;
	if
	:: use[t] != running -> use[t] = unused
	:: else -> skip
	fi
}

/* The guard beside the upstream: proxy. */
active proctype Holder() {
	byte t;
end:	do
	:: atomic { request ? t -> begin(t) }
	:: atomic { request ? t -> skip } /* lost */
	/* A first use is sent to the upstream, or admission refuses it. */
	:: atomic { use[1] == running && !sent[1] -> sent[1] = true; at_upstream[1]++ }
	:: atomic { use[2] == running && !sent[2] -> sent[2] = true; at_upstream[2]++ }
	:: atomic { use[1] == running && !sent[1] -> finish(1, notrun) }
	:: atomic { use[2] == running && !sent[2] -> finish(2, notrun) }
	/* The response of the upstream arrives or is lost. */
	:: atomic { use[1] == running && sent[1] && at_upstream[1] == 0 -> sent[1] = false; finish(1, done) }
	:: atomic { use[2] == running && sent[2] && at_upstream[2] == 0 -> sent[2] = false; finish(2, done) }
	:: atomic { use[1] == running && sent[1] -> sent[1] = false;
#ifdef NOT_RUN_AFTER_SEND
		finish(1, notrun)
#else
		finish(1, unknown)
#endif
	}
	:: atomic { use[2] == running && sent[2] -> sent[2] = false; finish(2, unknown) }
	/* once.NewTable in a new boot */
	:: atomic { boot < BOOTS ->
		printf("STEP restart\n");
		boot++;
		cutoff = 0;
		use[1] = unused; use[2] = unused;
		sent[1] = false; sent[2] = false
	}
	/* The clock reaches the expiry of a ticket. */
	:: atomic { !ever_expired[1] -> expire(1) }
	:: atomic { !ever_expired[2] -> expire(2) }
#ifdef CLOCK_BACK
	:: atomic { expired[1] -> printf("STEP back\n"); expired[1] = false }
#endif
#ifdef FORGET_EARLY
	:: atomic { use[1] == done -> printf("STEP forget\n"); use[1] = unused }
#endif
	od
}

/* The upstream runs every request it has received, also after the node restarts. */
active proctype Upstream() {
end:	do
	:: atomic { at_upstream[1] > 0 -> at_upstream[1]--; runs++; assert(runs <= 1) }
	:: atomic { at_upstream[2] > 0 -> at_upstream[2]--; runs++; assert(runs <= 1) }
	od
}

active proctype Caller() {
	byte current = 1;
	byte sends = 0;
	byte t;
	mtype verdict;
	atomic { issue(1) };
end:	do
	:: atomic { sends < SENDS && nfull(request) -> sends++; request ! current }
	/* Requests are reordered. */
	:: atomic { nempty(request) && nfull(request) -> request ? t -> request ! t }
	:: atomic { answer ? t, verdict ->
		if
		:: t == current && verdict == notrun && current < TICKETS ->
			current++;
			issue(2)
		:: else -> skip
		fi
	}
	od
}

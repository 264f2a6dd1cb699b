/*
 * Relay of one published value among three nodes: restarts, lost and duplicated
 * announcements, a platform that serves stale revisions, and node 2, which can't
 * reach the platform. Models core/relay:
 *
 *   read_platform  State.ReadDone, State.accept
 *   announce       State.disseminate, State.HandleAnnounce
 *   exchange       State.HandleDigest, State.DigestAnswered, State.FetchAnswered
 *   restart        New
 *   ask_peer       State.tickBoot, boot.answered
 *   become_ready   State.enoughReplies, State.caughtUp
 *
 * Properties:
 *   - between two restarts the revision of a ready node never decreases, and no
 *     ready node holds a revision below one that was in force on all nodes at
 *     once (check_node);
 *   - in a state without further steps all nodes are ready at the newest
 *     revision (Monitor).
 *
 * At least one node stays ready at any moment after the start: a value that all
 * nodes lose at once can only be read again from the platform. The bounded wait
 * for peers is modelled as ending only when no peer is ready.
 */
// MUTANT: NO_ASK a restarted node does not ask peers before it is ready
// MUTANT: NO_WAIT a restarted node is ready before it holds what peers know
// MUTANT: ASK_UNREADY the answer of a peer that is not ready counts
// MUTANT: NO_ORDER an older value replaces a newer one
// MUTANT: NO_EXCHANGE nodes do not repair lost announcements

#define NODES 3
#define NEWEST 3
#define RESTARTS 2
#define FAULTS 1
#define NEXT(i) ((i + 1) % NODES)
#define PREVIOUS(i) ((i + NODES - 1) % NODES)

byte published = 1;     /* newest revision at the platform */
byte held[NODES];       /* entry.held */
byte known[NODES];      /* entry.known */
byte inforce[NODES];    /* highest revision in force since the last restart */
bool ready[NODES];      /* boot.ready */
bool answered[NODES];   /* boot.answers > 0 */
byte message[NODES];    /* announcement in flight to the node, 0 for none */
byte everywhere = 0;    /* highest revision that was in force on all nodes */
byte restarts = 0;
byte faults = 0;        /* lost or duplicated messages and stale responses */

#ifdef NO_WAIT
#define complete(i) true
#else
#define complete(i) (held[i] >= known[i])
#endif

#ifdef NO_ASK
#define peers_reported(i) true
#else
#define peers_reported(i) (answered[i] || !(ready[NEXT(i)] || ready[PREVIOUS(i)]))
#endif

inline accept(i, r) {
  if
#ifdef NO_ORDER
  :: r != held[i] -> held[i] = r
#else
  :: r > held[i] && (!ready[i] || r >= known[i]) -> held[i] = r
#endif
  :: else
  fi;
  if :: r > known[i] -> known[i] = r :: else fi;
  check_node(i)
}

inline check_node(i) {
  if
  :: ready[i] ->
     assert(held[i] >= inforce[i] && held[i] >= everywhere);
     inforce[i] = held[i]
  :: else
  fi;
  if
  :: ready[0] && ready[1] && ready[2] ->
     if :: held[0] > everywhere && held[1] > everywhere && held[2] > everywhere ->
           everywhere = (held[0] < held[1] -> held[0] : held[1]);
           everywhere = (held[2] < everywhere -> held[2] : everywhere)
        :: else
     fi
  :: else
  fi
}

inline ask(i, peer) {
  answered[i] = true;
  if :: held[peer] > known[i] -> known[i] = held[peer] :: else fi
}

proctype Publisher() {
  do
  :: atomic { published < NEWEST -> published++ }
  :: else -> break
  od
}

proctype Node(byte i) {
  byte r;
end:
  do
  :: atomic {
       if
       :: i != 2 && published > held[i] -> /* read_platform: may be stale */
          select(r : 1 .. published);
          if :: r > held[i] -> message[NEXT(i)] = r :: else fi /* announce */
       :: i != 2 && held[i] > 1 && faults < FAULTS -> faults++; r = 1
       :: message[i] > 0 -> r = message[i]; message[i] = 0
       :: message[i] > 0 && faults < FAULTS -> faults++; r = message[i] /* duplicated */
       :: message[i] > 0 && faults < FAULTS -> faults++; message[i] = 0 /* lost */
#ifndef NO_EXCHANGE
       :: held[NEXT(i)] > held[i] -> r = held[NEXT(i)] /* exchange */
       :: held[PREVIOUS(i)] > held[i] -> r = held[PREVIOUS(i)]
#endif
       fi;
       if :: r > 0 -> accept(i, r); r = 0 :: else fi }
  :: atomic { ready[i] && (ready[NEXT(i)] || ready[PREVIOUS(i)]) && restarts < RESTARTS ->
       restarts++;
       ready[i] = false; answered[i] = false;
       held[i] = 0; known[i] = 0; inforce[i] = 0 }
  :: atomic { !ready[i] && !answered[i] && ready[NEXT(i)] -> ask(i, NEXT(i)) }
  :: atomic { !ready[i] && !answered[i] && ready[PREVIOUS(i)] -> ask(i, PREVIOUS(i)) }
#ifdef ASK_UNREADY
  :: atomic { !ready[i] && !answered[i] && !ready[NEXT(i)] -> ask(i, NEXT(i)) }
#endif
  :: atomic { !ready[i] && held[i] > 0 && complete(i) && peers_reported(i) ->
       ready[i] = true; check_node(i) } /* become_ready */
  od
}

proctype Monitor() {
  timeout ->
  assert(ready[0] && ready[1] && ready[2]);
  assert(held[0] == NEWEST && held[1] == NEWEST && held[2] == NEWEST)
}

init {
  atomic { run Publisher(); run Node(0); run Node(1); run Node(2); run Monitor() }
}

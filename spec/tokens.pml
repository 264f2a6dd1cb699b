// Token exchange of core/quota, a distributed token bucket: minters send ranges
// of minting time to poolers, which spend them as tokens. Time is counted in
// ticks. Slot s is what one share mints in the tick [s, s+1): one token at a rate
// of one a tick. It may be spent from s+1 on, until s+LIFE, so the burst is LIFE
// tokens.
//
// A suspended process takes no step while the clock advances.
// Property: between any two ticks a <= b at most (b-a) + LIFE tokens are spent.
//
// Each mutant removes one rule and must be refuted:
// MUTANT: NO_NONCE
// MUTANT: NO_DEBIT
// MUTANT: READY_FROM_ISSUE
// MUTANT: EXPIRY_FROM_RECEIPT
// MUTANT: NO_HOLDOFF
// MUTANT: NO_CONTACT
// MUTANT: NO_RESTART_WAIT

#define END 5
#define LIFE 1
#define HORIZON 1
#define LAG 1
#define ISOLATE 1
#define HOLDOFF (HORIZON + LAG + ISOLATE)
#define MESSAGES 2
#define CHANGED 1 // when the platform published the second list

#define OLD 0 // the minter of the first list
#define NEW 1 // the minter of the second list

byte now = 0
byte spent[END + 1]
byte mintedUntil[2]    // minter.mintedUntil
byte messages = 0      // streams sent

// A pooler holds one range of slots of each minter's last stream.
byte issuedAt[2]       // nonceTable: when the pooler issued its nonce
byte nonce[2]          // the nonce that it can redeem, 0 if none
byte lastNonce = 0
byte first[2]          // the range of slots held: [first, last)
byte last[2]
short shift[2]         // receipt minus sending
byte slack[2]          // receipt minus issue

// A stream in flight: the pooler, its nonce, the range and when it was sent. One
// that is never received is lost.
chan stream = [MESSAGES] of { byte, byte, byte, byte, byte }

// window is the property.
inline window() {
  d_step {
    byte a = 0, b, sum
    do
    :: a <= now ->
       sum = 0
       b = a
       do
       :: b <= now ->
          sum = sum + spent[b]
          assert(sum <= b - a + LIFE)
          b++
       :: else -> break
       od
       a++
    :: else -> break
    od
    a = 0; b = 0; sum = 0
  }
}

// These model Node.shareSince (the smallest share of the lists in force since
// HoldOff) and Node.checkContact, at the worst case that the bound on the lag
// allows: the new minter receives the second list at once; the old one gets
// confirmations of the first list until LAG has passed and never receives the
// second.
#ifdef NO_HOLDOFF
#define newMints (now >= CHANGED)
#else
#define newMints (now >= CHANGED + HOLDOFF)
#endif
#ifdef NO_CONTACT
#define oldMints (true)
#else
#define oldMints (now <= CHANGED + LAG + ISOLATE)
#endif

active proctype clock() {
  do
  :: now < END -> now++
  :: else -> break
  od
}

// restart models NewNode at the address of the old minter: it receives the
// oldest list that the bound on the lag allows, and has lost the state of what
// its previous run minted.
active proctype restart() {
end:
  atomic {
    now <= CHANGED + LAG ->
#ifdef NO_RESTART_WAIT
    mintedUntil[OLD] = now
#else
    mintedUntil[OLD] = now + HORIZON
#endif
  }
}

// minter models Node.handlePull and Node.mint.
proctype minter(byte me) {
  byte p, from
end:
  do
  :: atomic {
       messages < MESSAGES && nonce[0] + nonce[1] > 0 ->
       if
       :: nonce[0] > 0 -> p = 0
       :: nonce[1] > 0 -> p = 1
       fi
       if
       :: (me == OLD && oldMints) || (me == NEW && newMints) ->
          from = mintedUntil[me]
          if
          :: from + LIFE < now -> from = now - LIFE
          :: else
          fi
          if
          :: me == NEW && from < now -> from = now
          :: else
          fi
          if
          :: from < now + HORIZON ->
             stream ! p, nonce[p], from, now + HORIZON, now
             messages++
#ifndef NO_DEBIT
             mintedUntil[me] = now + HORIZON
#endif
          :: else
          fi
       :: else
       fi
       p = 0
       from = 0
     }
  od
}

// pull models Node.pullDue: it issues a nonce.
inline pull(me) {
  atomic {
    nonce[me] == 0 && lastNonce < MESSAGES ->
    lastNonce++
    nonce[me] = lastNonce
    issuedAt[me] = now
  }
}

// receive models Node.handleStream, nonceTable.redeem and credit. A message that
// stays in the channel is delivered again as a duplicate.
inline receive(me) {
  atomic {
    stream ?? [eval(me), _, _, _, _] ->
    if
    :: stream ?? eval(me), n, f, t, sent
    :: stream ?? <eval(me), n, f, t, sent>
    fi
    if
#ifdef NO_NONCE
    :: true ->
#else
    :: n == nonce[me] ->
       nonce[me] = 0
#endif
       first[me] = f
       last[me] = t
#ifdef READY_FROM_ISSUE
       shift[me] = issuedAt[me] - sent
       slack[me] = 0
#else
       shift[me] = now - sent
       slack[me] = now - issuedAt[me]
#endif
#ifndef NO_NONCE
       issuedAt[me] = 0
#endif
    :: else
    fi
    n = 0; f = 0; t = 0; sent = 0
  }
}

// spend models bucket.spend: it spends the oldest slot that is spendable now and
// drops an expired one.
inline spend(me) {
  atomic {
    first[me] < last[me] && first[me] + shift[me] + 1 <= now ->
    if
#ifdef EXPIRY_FROM_RECEIPT
    :: now <= first[me] + shift[me] + LIFE ->
#else
    :: now + slack[me] <= first[me] + shift[me] + LIFE ->
#endif
       spent[now]++
       window()
    :: else
    fi
    first[me]++
    if
    :: first[me] == last[me] -> first[me] = 0; last[me] = 0; shift[me] = 0; slack[me] = 0
    :: else
    fi
  }
}

proctype pooler(byte me) {
  byte n, f, t, sent
end:
  do
  :: pull(me)
  :: receive(me)
  :: spend(me)
  od
}

init {
  atomic {
    run minter(OLD)
    run minter(NEW)
    run pooler(0)
    run pooler(1)
  }
}

/*
 * Order claims: at most one run of an order key, and no false "not run".
 *
 * Each Request process is one request with the same key, at any daemon. A daemon
 * restart is modelled as one process that stops permanently and another that
 * starts. A process may pause between two steps for any time; an unbounded pause
 * is a crash.
 * The log applies an append at any later time or never, whatever response its
 * writer got: the model omits responses to appends, since nothing depends on
 * them. One claim may be applied twice. Records expire R after they were applied.
 * Time may advance between any two steps.
 *
 * The protocol: a request is accepted until its key reaches its maximum age (L).
 * It appends a claim, reads the log from its oldest record, and sends if its
 * claim holds the key and its deadline (D) has not passed. Giving up appends a
 * void. The log's time decides whether a claim was in time (L). R > L + D.
 *
 * A request keeps no index between two reads. A daemon's index also keeps records
 * that have expired in the log, so the model checks the reader with less
 * information.
 *
 * Each broken variant omits one rule; the checker must reject it:
 */
// BROKEN: LEASE              a claim without an outcome expires, and the next claim holds the key
// BROKEN: BLIND_REAPPEND     appends a second claim without reading the log, and voids only that one
// BROKEN: SEND_BEFORE_CLAIM  sends before it has read its claim from the log
// BROKEN: NO_ISSUE_TIME      accepts a key at any age
// BROKEN: NO_DEADLINE        a paused holder sends after its deadline when it resumes
// BROKEN: REUSED_CLAIM_ID    a restarted daemon reuses claim ids
// BROKEN: SEND_AFTER_VOID    a request that gave up still sends when its claim is applied late
// BROKEN: SHORT_RETENTION    a claim expires in the log while its key may still be used

#define L 1 /* last time at which a key may be claimed; it is issued at 0 */
#define D 1 /* from acceptance to the deadline */
#ifdef SHORT_RETENTION
#define R 1
#else
#define R 3 /* retention of the log */
#endif
#define MAX_TIME 3 /* last time of the model */
#define LEASE_TIME 1
#define NONE 255
#define LOG_SIZE 4
#define BIT(i) (1 << (i))

#define CLAIM 0
#define VOID 1
#define OUTCOME 2

typedef Record {
  byte kind;
  byte id;
  byte at; /* capped at L: with R = MAX_TIME, no later record can expire */
};

Record entries[LOG_SIZE];
byte size = 0;
byte now = 0;
byte pending[3];       /* by kind: bits of claim ids whose append is in flight */
bool repeated = false; /* one claim was applied twice */

bool ran = false; /* the upstream ran the order */
byte notRun = 0;  /* bits of requests that were told "not run" */
byte accepted = 0; /* requests are symmetric, so only one order of acceptance is explored */
byte deciding = 3; /* requests that may still read the log */

#ifdef NO_ISSUE_TIME
#define CLAIMABLE(time) true
#else
#define CLAIMABLE(time) (time <= L)
#endif

/* Applies an append. A claim whose key is too old is invalid and omitted. */
#define APPLY(k, i) \
  atomic { deciding > 0 && (pending[k] & BIT(i)) && size < LOG_SIZE && (k != CLAIM || CLAIMABLE(now)) -> \
    entries[size].kind = k; \
    entries[size].id = i; \
    entries[size].at = (now <= L -> now : L); \
    size++; \
    if \
    :: pending[k] = pending[k] & (255 - BIT(i)) \
    :: k == CLAIM && !repeated -> repeated = true \
    fi }

active proctype Log()
{
end:
  do
  :: deciding > 0 && now < MAX_TIME -> now++
  :: APPLY(CLAIM, 0)
  :: APPLY(CLAIM, 1)
  :: APPLY(CLAIM, 2)
  :: APPLY(VOID, 0)
  :: APPLY(VOID, 1)
  :: APPLY(VOID, 2)
#ifdef BLIND_REAPPEND
  :: APPLY(CLAIM, 3)
  :: APPLY(VOID, 3)
#endif
#ifdef LEASE
  :: APPLY(OUTCOME, 0)
  :: APPLY(OUTCOME, 1)
  :: APPLY(OUTCOME, 2)
#endif
  od
}

#ifdef LEASE
#define LEASE_EXPIRED(time) (!ended && heldAt + LEASE_TIME <= time)
#else
#define LEASE_EXPIRED(time) false
#endif

/* Reads all records that have not expired; sets holder and invalid. */
inline ReadLog()
{
  holder = NONE;
  invalid = 0;
  at = 0;
  do
  :: at < size && entries[at].at + R <= now -> at++
  :: else -> break
  od;
  do
  :: at < size && entries[at].kind == CLAIM ->
     if
     :: (invalid & BIT(entries[at].id)) -> skip
     :: else ->
        if
        :: holder == entries[at].id -> skip
        :: holder != entries[at].id && (holder == NONE || LEASE_EXPIRED(entries[at].at)) ->
           holder = entries[at].id;
           heldAt = entries[at].at;
           ended = false
        :: else -> invalid = invalid | BIT(entries[at].id)
        fi
     fi;
     at++
  :: at < size && entries[at].kind == VOID ->
     invalid = invalid | BIT(entries[at].id);
     if
     :: holder == entries[at].id -> holder = NONE
     :: else
     fi;
     at++
  :: at < size && entries[at].kind == OUTCOME ->
     ended = ended || holder == entries[at].id;
     at++
  :: else -> break
  od;
  at = 0
}

#ifdef NO_DEADLINE
#define IN_TIME true
#else
#define IN_TIME (now <= deadline)
#endif

/* One request; id is the id of its claim. */
proctype Request(byte self; byte id)
{
  byte deadline;
  byte holder;
  byte invalid;
  byte heldAt;
  byte at;
  bool ended;
  bool sends;
  bool lost;

  if
  :: atomic { CLAIMABLE(now) && accepted == self ->
       accepted++;
       deadline = now + D;
       pending[CLAIM] = pending[CLAIM] | BIT(id) }
  :: !CLAIMABLE(now) -> goto end /* the key is too old: "unknown" */
  fi;
#ifdef SEND_BEFORE_CLAIM
  goto send;
#endif
#ifdef BLIND_REAPPEND
  if
  :: atomic { self == 0 ->
       pending[CLAIM] = pending[CLAIM] | BIT(3);
       pending[VOID] = pending[VOID] | BIT(3);
       notRun = notRun | BIT(self) } /* gives up, but does not void the first claim */
  :: true
  fi;
#endif

  do
  :: atomic {
       d_step {
         ReadLog();
         sends = (holder == id && IN_TIME);
         lost = (invalid & BIT(id));
         holder = 0;
         invalid = 0;
         heldAt = 0;
         ended = false
       }
       if
       :: sends -> goto send
       :: lost -> goto end
       :: else
       fi }
  :: atomic { /* gives up: timeout, caller disconnected, log unavailable */
       pending[VOID] = pending[VOID] | BIT(id);
       notRun = notRun | BIT(self);
#ifndef SEND_AFTER_VOID
       goto end
#endif
     }
  od;

send: /* may pause here for any time */
  atomic { deciding--; sends = false; deadline = 0 }
  if
  :: atomic {
       assert(!ran);                  /* at most one run */
       assert(!(notRun & BIT(self))); /* was not answered "not run" before */
#ifdef LEASE
       pending[OUTCOME] = pending[OUTCOME] | BIT(id);
#endif
       ran = true }
  :: atomic { /* connection refused: definitely not sent */
       pending[VOID] = pending[VOID] | BIT(id);
       notRun = notRun | BIT(self) }
  fi;
  goto done;
end:
  atomic { deciding--; lost = false; deadline = 0 }
done:
  skip
}

init
{
  atomic {
    run Request(0, 0);
    run Request(1, 1);
#ifdef REUSED_CLAIM_ID
    run Request(2, 0)
#else
    run Request(2, 2)
#endif
  }
}

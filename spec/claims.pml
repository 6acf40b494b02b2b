/*
 * Order claims: at most one run of an order key, and no false "not run".
 *
 * Each Request process is one request with the same key, at any daemon; a
 * daemon that restarts shows as one process that stops for good and another
 * that starts. A process may pause between two steps for any time, or for ever,
 * which is a crash.
 * The log takes an append at any later time or never, whatever its writer was
 * told: the answer to an append is not in the model, since nothing depends on
 * it. One claim may be taken twice. Records expire R after they were taken.
 * Time passes at any step.
 *
 * The protocol: a request is accepted while its key is young (L), claims, reads
 * the log from its oldest record, and sends if its claim holds the key and its
 * deadline (D) has not passed. Giving up writes a void. The log's time decides
 * whether a claim came while its key was young. R > L + D.
 *
 * A request keeps no index between two reads. A daemon's index knows more (it
 * keeps what has expired in the log), so this is the weaker reader.
 *
 * Each broken variant leaves out one rule; the checker must reject it:
 */
// BROKEN: LEASE              a claim without an outcome lapses, and the next claim holds
// BROKEN: BLIND_REAPPEND     appends a second claim without looking, and voids only that one
// BROKEN: SEND_BEFORE_CLAIM  sends before the claim was read back
// BROKEN: NO_ISSUE_TIME      accepts a key at any age
// BROKEN: NO_DEADLINE        a paused holder sends whenever it wakes
// BROKEN: REUSED_CLAIM_ID    a restarted daemon names its claims as before
// BROKEN: SEND_AFTER_VOID    a request that gave up sends when its claim comes late
// BROKEN: SHORT_RETENTION    the log forgets a claim while its key may be used

#define L 1 /* last time at which a key may be claimed; it is issued at 0 */
#define D 1 /* from acceptance to the deadline */
#ifdef SHORT_RETENTION
#define R 1
#else
#define R 3 /* retention of the log */
#endif
#define LAST 3 /* time ends here */
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
  byte at; /* up to L: with R = LAST, nothing later can expire */
};

Record entries[LOG_SIZE];
byte size = 0;
byte now = 0;
byte pending[3];       /* by kind: bits of claim ids whose append is under way */
bool repeated = false; /* one claim was taken twice */

bool ran = false; /* the upstream ran the order */
byte notRun = 0;  /* bits of requests that were told "not run" */
byte accepted = 0; /* requests are alike, so they are accepted in one order */
byte deciding = 3; /* requests that may still read the log */

#ifdef NO_ISSUE_TIME
#define YOUNG(time) true
#else
#define YOUNG(time) (time <= L)
#endif

/* A claim that comes when its key is too old is dead, and left out. */
#define LAND(k, i) \
  atomic { deciding > 0 && (pending[k] & BIT(i)) && size < LOG_SIZE && (k != CLAIM || YOUNG(now)) -> \
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
  :: deciding > 0 && now < LAST -> now++
  :: LAND(CLAIM, 0)
  :: LAND(CLAIM, 1)
  :: LAND(CLAIM, 2)
  :: LAND(VOID, 0)
  :: LAND(VOID, 1)
  :: LAND(VOID, 2)
#ifdef BLIND_REAPPEND
  :: LAND(CLAIM, 3)
  :: LAND(VOID, 3)
#endif
#ifdef LEASE
  :: LAND(OUTCOME, 0)
  :: LAND(OUTCOME, 1)
  :: LAND(OUTCOME, 2)
#endif
  od
}

#ifdef LEASE
#define LAPSED(time) (!ended && heldAt + LEASE_TIME <= time)
#else
#define LAPSED(time) false
#endif

/* Reads all records that have not expired; sets holder and dead. */
inline ReadLog()
{
  holder = NONE;
  dead = 0;
  at = 0;
  do
  :: at < size && entries[at].at + R <= now -> at++
  :: else -> break
  od;
  do
  :: at < size && entries[at].kind == CLAIM ->
     if
     :: (dead & BIT(entries[at].id)) -> skip
     :: else ->
        if
        :: holder == entries[at].id -> skip
        :: holder != entries[at].id && (holder == NONE || LAPSED(entries[at].at)) ->
           holder = entries[at].id;
           heldAt = entries[at].at;
           ended = false
        :: else -> dead = dead | BIT(entries[at].id)
        fi
     fi;
     at++
  :: at < size && entries[at].kind == VOID ->
     dead = dead | BIT(entries[at].id);
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

/* One request; id names its claim. */
proctype Request(byte self; byte id)
{
  byte deadline;
  byte holder;
  byte dead;
  byte heldAt;
  byte at;
  bool ended;
  bool sends;
  bool lost;

  if
  :: atomic { YOUNG(now) && accepted == self ->
       accepted++;
       deadline = now + D;
       pending[CLAIM] = pending[CLAIM] | BIT(id) }
  :: !YOUNG(now) -> goto end /* the key is too old: "unknown" */
  fi;
#ifdef SEND_BEFORE_CLAIM
  goto send;
#endif
#ifdef BLIND_REAPPEND
  if
  :: atomic { self == 0 ->
       pending[CLAIM] = pending[CLAIM] | BIT(3);
       pending[VOID] = pending[VOID] | BIT(3);
       notRun = notRun | BIT(self) } /* given up; the first claim is forgotten */
  :: true
  fi;
#endif

  do
  :: atomic {
       d_step {
         ReadLog();
         sends = (holder == id && IN_TIME);
         lost = (dead & BIT(id));
         holder = 0;
         dead = 0;
         heldAt = 0;
         ended = false
       }
       if
       :: sends -> goto send
       :: lost -> goto end
       :: else
       fi }
  :: atomic { /* gives up: timeout, caller gone, log down */
       pending[VOID] = pending[VOID] | BIT(id);
       notRun = notRun | BIT(self);
#ifndef SEND_AFTER_VOID
       goto end
#endif
     }
  od;

send: /* it may pause here for any time */
  atomic { deciding--; sends = false; deadline = 0 }
  if
  :: atomic {
       assert(!ran);                  /* at most one run */
       assert(!(notRun & BIT(self))); /* no false "not run", earlier */
#ifdef LEASE
       pending[OUTCOME] = pending[OUTCOME] | BIT(id);
#endif
       ran = true }
  :: atomic { /* connection refused: certainly not sent */
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

// The status of a version roll-out in the store (docs/design/rollouts.md).
//
// Two routers decide at the same time. Each reads the store's newest status and
// its end, and appends the next one under the condition that the store still
// ends there. An append may be executed late, after its sender has given up, or
// never; an answer may be lost. Each router may judge the version bad, once,
// tells the other what it knows, and reads the store, at any time. The store may
// come back older once: appends in flight are then lost, and a router writes
// again only after it has heard the other one.
//
// Assumption: a router is told that the store came back older before it reads
// it (the store states its era), and the other router is in touch meanwhile.
// What no router knew of before is lost with the store's newest records.
//
// Checked: in the store, statuses move forward only and nothing follows a final
// one. What a router believes never goes back; if it has judged the version bad
// and the store does not know, it yields to Completed, as the old upstreams are
// gone then. No status is accepted that contradicts a final one that a router
// knows to have been accepted.
//
// BROKEN: TWO_DECIDERS     statuses are appended without a condition
// BROKEN: STATUS_GOES_BACK a router believes the store, also if it has less
// BROKEN: OLDER_STORE      a router writes before it has heard the other one

#define NONE 0
#define TRIAL 1
#define SWITCH 2
#define DRAIN 3
#define COMPLETED 4
#define ROLLED_BACK 5

#define MAX_LENGTH 6
#define IS_FINAL(stage) ((stage) >= COMPLETED)

byte log[MAX_LENGTH];
byte length;

// Arrays are indexed by router.
byte stage[2];      // what it believes
bool knowsFinal[2]; // that its final stage was accepted by the store
bool judged[2];
bool mustHear[2]; // the other router, before it writes

// Appends on their way: the one that the router waits for, and one that it has
// given up on. Stage NONE: there is none.
byte sent[2];
byte sentAt[2];
byte late[2];
byte lateAt[2];

#define NEWEST (length == 0 -> NONE : log[length - 1])

// Router r learns of a stage s, which the store has accepted if accepted.
inline adopt(r, s, accepted)
{
  if
#ifdef STATUS_GOES_BACK
  :: accepted && s != NONE && s != stage[r] ->
     assert(s > stage[r] || (stage[r] == ROLLED_BACK && s == COMPLETED && !knowsFinal[r]));
     stage[r] = s;
     knowsFinal[r] = IS_FINAL(s)
#endif
  :: s == COMPLETED && stage[r] == ROLLED_BACK && !knowsFinal[r] ->
     stage[r] = COMPLETED;
     knowsFinal[r] = true
  :: else ->
     if
     :: !IS_FINAL(stage[r]) && s > stage[r] ->
        stage[r] = s
     :: else
     fi;
     if
     :: accepted && IS_FINAL(s) && s == stage[r] -> knowsFinal[r] = true
     :: else
     fi
  fi
}

// The store executes an append.
inline execute(s, at, accepted)
{
  accepted = false;
  if
#ifdef TWO_DECIDERS
  :: length < MAX_LENGTH ->
#else
  :: at == length && length < MAX_LENGTH ->
#endif
     assert(!IS_FINAL(NEWEST) && s > NEWEST);
     assert(!IS_FINAL(s) || !knowsFinal[0] || stage[0] == s);
     assert(!IS_FINAL(s) || !knowsFinal[1] || stage[1] == s);
     log[length] = s;
     length++;
     accepted = true
  :: else
  fi
}

proctype Router(byte r)
{
  bool accepted;
  byte next;
end:
  do
  :: atomic { // reads the store
       length > 0 -> adopt(r, log[length - 1], true)
     }
  :: atomic { // reads the store and sends the next status, or what it lacks
       sent[r] == NONE && !mustHear[r] && !IS_FINAL(NEWEST) ->
       adopt(r, NEWEST, true);
       if
       :: stage[r] > NEWEST -> next = stage[r]
       :: else -> next = stage[r] + 1
       fi;
       sent[r] = next;
       sentAt[r] = length;
       next = 0
     }
  :: atomic { // the append is executed, and its answer arrives or is lost
       sent[r] != NONE ->
       execute(sent[r], sentAt[r], accepted);
       if
       :: accepted -> adopt(r, sent[r], true)
       :: true
       fi;
       sent[r] = NONE;
       accepted = false
     }
  :: atomic { // gives up waiting; the append may still be executed, or never
       sent[r] != NONE ->
       if
       :: late[r] == NONE ->
          late[r] = sent[r];
          lateAt[r] = sentAt[r]
       :: true
       fi;
       sent[r] = NONE;
       sentAt[r] = 0
     }
  :: atomic {
       late[r] != NONE ->
       execute(late[r], lateAt[r], accepted);
       late[r] = NONE;
       lateAt[r] = 0;
       accepted = false
     }
  :: atomic { // judges the version bad
       !judged[r] && stage[r] != NONE && !IS_FINAL(stage[r]) ->
       judged[r] = true;
       stage[r] = ROLLED_BACK
     }
  :: atomic { // hears the other one; Completed is only told once accepted
       stage[1 - r] != NONE ->
       adopt(r, stage[1 - r], knowsFinal[1 - r]);
       mustHear[r] = false
     }
  od
}

proctype Restore()
{
  atomic {
    length > 0 ->
    do
    :: length > 0 -> length--; log[length] = NONE
    :: break
    od;
    sent[0] = NONE; sent[1] = NONE;
    late[0] = NONE; late[1] = NONE;
    sentAt[0] = 0; sentAt[1] = 0;
    lateAt[0] = 0; lateAt[1] = 0;
#ifndef OLDER_STORE
    mustHear[0] = stage[1] != NONE;
    mustHear[1] = stage[0] != NONE
#endif
  }
}

init
{
  atomic {
    run Router(0);
    run Router(1);
    run Restore()
  }
}

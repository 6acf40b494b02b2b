// A request with at most two attempts, and its caller.
//
// The first attempt works and then falls silent; it may go on, fail, or never
// send anything more. While it is silent the router may begin a second attempt,
// which is refused, fails, or answers. Events of the network may come in any
// order. The caller may leave, and the deadline may pass, at any time.
//
// Checked: the caller gets one attempt's next event, once, and nothing from the
// other one after that. The caller's answer is ended early only if the first
// attempt has failed by itself, or at the deadline. When the request has ended no attempt is left
// without having been canceled. A request that must not run twice has one.
//
// BROKEN: CANCEL_FIRST   the silent attempt is canceled when the second begins
// BROKEN: FORWARD_BOTH   the other attempt is not canceled when one goes on
// BROKEN: FORGET_SILENT  the silent attempt is left alone when the request ends

#define NONE 0
#define WORKING 1
#define SILENT 2
#define ENDED 3 // it has answered, failed or been canceled

bool repeatable;
bool begunTwice;
byte first = WORKING;
byte second = NONE;
byte forwarded;       // attempts whose next event the caller has got
bool atDeadline;
bool callerLeft;
bool firstFailed;     // by itself, rather than canceled
bool cut;             // the caller's answer was ended early
bool done;

#define IN_FLIGHT(a) ((a) == WORKING || (a) == SILENT)

// The request ends: whatever is left is canceled.
inline finish()
{
  done = true;
#ifdef FORGET_SILENT
  if
  :: first == WORKING -> first = ENDED
  :: else
  fi;
#else
  first = ENDED;
#endif
  if
  :: second != NONE -> second = ENDED
  :: else
  fi
}

// An attempt has ended without an answer.
inline on_failed(other)
{
  if
  :: IN_FLIGHT(other) // it goes on as if nothing had happened
  :: else -> cut = true; finish()
  fi
}

active proctype Router()
{
  if
  :: repeatable = true
  :: repeatable = false
  fi;
  do
  :: done -> break
  :: !done && first == WORKING -> first = SILENT
  :: atomic { !done && first == SILENT && second == NONE && repeatable ->
       second = WORKING; begunTwice = true;
#ifdef CANCEL_FIRST
       first = ENDED
#endif
     }
  :: atomic { !done && IN_FLIGHT(first) -> // its next event, or its answer
       forwarded++;
#ifndef FORWARD_BOTH
       if
       :: second != NONE -> second = ENDED
       :: else
       fi;
       finish()
#else
       first = ENDED;
       if
       :: !IN_FLIGHT(second) -> finish()
       :: else
       fi
#endif
     }
  :: atomic { !done && second == WORKING ->
       forwarded++;
#ifndef FORWARD_BOTH
       finish()
#else
       second = ENDED;
       if
       :: !IN_FLIGHT(first) -> finish()
       :: else
       fi
#endif
     }
  :: atomic { !done && IN_FLIGHT(first) ->
       first = ENDED;
       firstFailed = true;
       on_failed(second)
     }
  :: atomic { !done && second == WORKING -> // refused, failed or reset
       second = ENDED;
       on_failed(first)
     }
  :: atomic { !done -> atDeadline = true; finish() }
  :: atomic { !done -> callerLeft = true; finish() }
  od;
  assert(forwarded <= 1);
  assert(!cut || firstFailed);
  assert(!IN_FLIGHT(first) && !IN_FLIGHT(second));
  assert(repeatable || !begunTwice)
}

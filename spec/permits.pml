// Ownership and permits of one upstream.
//
// Two daemons, numbered 0 and 1, may own the upstream; four holders ask the one
// that their view names. Owner 0 owns at first. Each view changes at any moment
// and any number of times once owner 1 has begun. Owner 0 stops when its own
// view changes, or is paused at any moment and wakes before it learns anything.
// Two requests run at first, ASKS more are asked for, and views change FLIPS
// times in all, which bounds the search.
// Grants and reports are delayed at will; asks time out, and a late grant is
// given back. Releases arrive at once, which is the worst case: a late one only
// makes an owner count too much.
//
// Assumed, as the lease horizon of OwnerOptions is chosen: a takeover ends only
// after every view names the new owner, the old one has stopped or is paused,
// and the holders' reports have arrived. The upstream's load reports, which
// reveal more, are left out as if they had stopped.
//
// Holds: never more than WINDOW + TAKEOVER requests in progress, and no grant
// above WINDOW, counting the grants on their way, while all views name one
// owner, the only one, that is not in a takeover.
//
// BROKEN: NO_GRACE        the new owner starts with its full window
// BROKEN: FORGET_REPORT   holders do not register with the new owner
// BROKEN: NO_PAUSE_CHECK  an owner that wakes goes on as before its pause
// BROKEN: USE_LATE_GRANT  a holder uses a grant that it has given back
// BROKEN: USE_OLD_OWNER   a holder uses a grant of an owner that its view no
//                         longer names, so that the new one never hears of it

#define WINDOW 2
#define TAKEOVER 1
#define ASKS 4
#define FLIPS 6

#define BIT(h) (1 << (h))
#define HAS(set, h) ((set) & BIT(h))
#define COUNT(set)                                                             \
  (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))

// By owner. Sets of holders are bits of a byte.
byte permits[2]; // holders that the owner counts
byte grants[2];  // grants on their way
byte reports[2]; // reports on their way
byte mine[2];    // permits granted since the takeover began
bool owns[2];    // the owner's own view says so
bool paused[2];
bool takeover[2];

byte asks;    // so far
byte flips;   // so far
byte views;   // holders whose view names owner 1
byte running; // holders whose request runs on the upstream

#define VIEW(h) ((views >> (h)) & 1)
#define ALL_NAME_1 (views == 15)
#define ALL_NAME_0 (views == 0)

inline start_request(o, h)
{
  running = running | BIT(h);
  assert(COUNT(running) <= WINDOW + TAKEOVER)
}

// A release, behind any report of the same holder.
inline release_to(o, h)
{
  reports[o] = reports[o] & ~BIT(h);
  permits[o] = permits[o] & ~BIT(h);
  mine[o] = mine[o] & ~BIT(h)
}

#define MAY_GRANT(o)                                                           \
  (owns[o] && !paused[o] && COUNT(permits[o]) < WINDOW &&                      \
   (!takeover[o] || COUNT(mine[o]) < TAKEOVER))

#define AGREED(o)                                                              \
  (!takeover[o] && !owns[1 - o] && (o == 0 -> ALL_NAME_0 : ALL_NAME_1))

#define IS_IDLE(h) (!HAS(running | grants[0] | grants[1], h))

proctype Holder(byte h)
{
  bit o;
end:
  do
  :: atomic { // the owner gets an ask and grants it; a denial changes nothing
       asks < ASKS && IS_IDLE(h) && MAY_GRANT(VIEW(h)) && !HAS(reports[VIEW(h)], h) ->
       asks++;
       o = VIEW(h);
       permits[o] = permits[o] | BIT(h);
       mine[o] = mine[o] | BIT(h);
       grants[o] = grants[o] | BIT(h);
       assert(!AGREED(o) || COUNT(running | grants[0] | grants[1]) <= WINDOW);
       o = 0
     }
  :: atomic { // the grant arrives in time, from the owner that the view names
#ifdef USE_OLD_OWNER
       HAS(grants[0] | grants[1], h) ->
       o = (HAS(grants[0], h) -> 0 : 1);
#else
       HAS(grants[VIEW(h)], h) ->
       o = VIEW(h);
#endif
       grants[o] = grants[o] & ~BIT(h);
       start_request(o, h);
       o = 0
     }
  :: atomic { // the ask timed out, or the view has changed since: it is taken back
       HAS(grants[0] | grants[1], h) ->
       o = (HAS(grants[0], h) -> 0 : 1);
       grants[o] = grants[o] & ~BIT(h);
       release_to(o, h);
#ifdef USE_LATE_GRANT
       start_request(o, h);
#endif
       o = 0
     }
  :: atomic { // the answer has ended
       HAS(running, h) ->
       running = running & ~BIT(h);
       release_to(VIEW(h), h)
     }
  :: atomic { // the view changes: what is held is registered anew
       owns[1] && flips < FLIPS ->
       flips++;
       views = views ^ BIT(h);
#ifndef FORGET_REPORT
       if
       :: HAS(running, h) ->
          reports[VIEW(h)] = reports[VIEW(h)] | BIT(h)
       :: else
       fi
#endif
     }
  :: atomic { // a report arrives
       HAS(reports[0], h) && !paused[0] ->
       reports[0] = reports[0] & ~BIT(h);
       permits[0] = permits[0] | BIT(h)
     }
  :: atomic {
       HAS(reports[1], h) ->
       reports[1] = reports[1] & ~BIT(h);
       permits[1] = permits[1] | BIT(h)
     }
  od
}

// What happens to the owners.
proctype Faults()
{
  atomic { // owner 1's view names itself
    owns[1] = true;
#ifndef NO_GRACE
    takeover[1] = true
#endif
  };
  if
  :: paused[0] = true;
     atomic { // it wakes before it learns that it lost the ownership
       paused[0] = false;
#ifndef NO_PAUSE_CHECK
       takeover[0] = true;
       mine[0] = 0
#endif
     }
  :: owns[0] = false
  fi
}

// The lease horizon of owner 1 has passed.
proctype Horizon()
{
end:
  atomic {
    takeover[1] && ALL_NAME_1 && (!owns[0] || paused[0]) && reports[1] == 0 &&
    grants[0] == 0 -> takeover[1] = false
  }
}

init
{
  atomic {
    owns[0] = true;
    running = BIT(0) | BIT(1);
    permits[0] = running;
    run Holder(0);
    run Holder(1);
    run Holder(2);
    run Holder(3);
    run Faults();
    run Horizon()
  }
}

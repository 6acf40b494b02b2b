// Ownership and permits of one upstream.
//
// Two daemons, numbered 0 and 1, may own the upstream; each of four holders sends
// permit requests to the owner in its view. Owner 0 is the initial owner. Once
// owner 1 has begun to own, each view changes at any time and any number of times.
// Owner 0 stops owning when its own view changes, or it pauses at any time and
// resumes before it learns of the change.
// Two requests run initially, MAX_REQUESTS more permits are requested, and views
// change MAX_VIEW_CHANGES times in total, which bounds the search.
// Grants and reports are delayed arbitrarily; permit requests time out, and a late
// grant is released. Releases arrive at once, which is the worst case: a late
// release only makes an owner count too many permits.
//
// Assumption, for which OwnerOptions::m_leaseDuration is chosen: a takeover ends
// only after every view names the new owner, the old one has stopped or is
// paused and has no grant in flight, and the holders' reports have arrived. The
// upstream's load reports, which would give the owners more information, are not
// modelled.
//
// Checked: at most WINDOW + TAKEOVER requests are in progress. While all views
// name the same owner, which is the only owner and not in a takeover, it makes no
// grant above WINDOW, counting grants in flight.
//
// BROKEN: NO_GRACE        the new owner starts with its full window
// BROKEN: FORGET_REPORT   holders do not report their permits to the new owner
// BROKEN: NO_PAUSE_CHECK  an owner that resumes goes on as before its pause, without a takeover
// BROKEN: USE_LATE_GRANT  a holder uses a grant that it has released
// BROKEN: USE_OLD_OWNER   a holder uses a grant of an owner that is no longer in
//                         its view, so that the new owner never learns of it

#define WINDOW 2
#define TAKEOVER 1
#define MAX_REQUESTS 4
#define MAX_VIEW_CHANGES 6

#define BIT(h) (1 << (h))
#define HAS(set, h) ((set) & BIT(h))
#define COUNT(set)                                                             \
  (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))

// Arrays are indexed by owner. A set of holders is a bit mask.
byte permits[2]; // holders that the owner counts
byte grants[2];  // holders with a grant in flight
byte reports[2]; // holders with a report in flight
byte grantedInTakeover[2]; // holders granted a permit since the takeover began
bool owns[2]; // the daemon owns the upstream in its own view
bool paused[2];
bool takeover[2];

byte requested;   // permit requests so far
byte viewChanges; // view changes so far
byte views;       // holders whose view names owner 1
byte running;     // holders whose request runs on the upstream

#define VIEW(h) ((views >> (h)) & 1)
#define ALL_NAME_1 (views == 15)
#define ALL_NAME_0 (views == 0)

inline start_request(o, h)
{
  running = running | BIT(h);
  assert(COUNT(running) <= WINDOW + TAKEOVER)
}

// Processes a release, ordered after any report of the same holder.
inline release_to(o, h)
{
  reports[o] = reports[o] & ~BIT(h);
  permits[o] = permits[o] & ~BIT(h);
  grantedInTakeover[o] = grantedInTakeover[o] & ~BIT(h)
}

#define MAY_GRANT(o)                                                           \
  (owns[o] && !paused[o] && COUNT(permits[o]) < WINDOW &&                      \
   (!takeover[o] || COUNT(grantedInTakeover[o]) < TAKEOVER))

#define IS_SOLE_OWNER(o)                                                       \
  (!takeover[o] && !owns[1 - o] && (o == 0 -> ALL_NAME_0 : ALL_NAME_1))

#define IS_IDLE(h) (!HAS(running | grants[0] | grants[1], h))

proctype Holder(byte h)
{
  bit o;
end:
  do
  :: atomic { // the owner gets a permit request and grants it; a denial changes nothing
       requested < MAX_REQUESTS && IS_IDLE(h) && MAY_GRANT(VIEW(h)) && !HAS(reports[VIEW(h)], h) ->
       requested++;
       o = VIEW(h);
       permits[o] = permits[o] | BIT(h);
       grantedInTakeover[o] = grantedInTakeover[o] | BIT(h);
       grants[o] = grants[o] | BIT(h);
       assert(!IS_SOLE_OWNER(o) || COUNT(running | grants[0] | grants[1]) <= WINDOW);
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
  :: atomic { // the permit request timed out or the view has changed: releases it
       HAS(grants[0] | grants[1], h) ->
       o = (HAS(grants[0], h) -> 0 : 1);
       grants[o] = grants[o] & ~BIT(h);
       release_to(o, h);
#ifdef USE_LATE_GRANT
       start_request(o, h);
#endif
       o = 0
     }
  :: atomic { // the request has ended
       HAS(running, h) ->
       running = running & ~BIT(h);
       release_to(VIEW(h), h)
     }
  :: atomic { // the view changes: reports a held permit to the new owner
       owns[1] && viewChanges < MAX_VIEW_CHANGES ->
       viewChanges++;
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

// Owner 1 begins to own; owner 0 stops owning or pauses.
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
     atomic { // resumes before it learns that it lost ownership
       paused[0] = false;
#ifndef NO_PAUSE_CHECK
       takeover[0] = true;
       grantedInTakeover[0] = 0
#endif
     }
  :: owns[0] = false
  fi
}

// The lease duration of owner 1 passes, which ends its takeover.
proctype TakeoverEnd()
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
    run TakeoverEnd()
  }
}

// Acceptance of configuration changes from a log that drops its oldest records.
//
// Operators append changes against the version that they have read, possibly
// twice when a response is lost. Daemons append snapshots of the state that they
// have read, possibly late. The log drops its oldest records at any time. A reader
// may lag, start late, miss records and receive configurations from peers.
// Whenever it believes that it misses no record, its version must equal the one
// from evaluating the whole log, and its version must never decrease.
//
// BROKEN: LAST_WRITER_WINS (a change is accepted whatever its base version)
// BROKEN: SNAPSHOT_BURIES (a snapshot is adopted as of its own offset)
// BROKEN: SNAPSHOT_ANYWHERE (a snapshot is adopted although records are missing)
// BROKEN: CLOCK_VERSION (the version is the writer's clock, not the offset)
// BROKEN: PEER_ALWAYS (a peer's configuration is adopted although it is older)

#define N 5 /* capacity of the log in records */

#ifdef SNAPSHOT_ANYWHERE
#define ANCHORS(o) true
#else
#define ANCHORS(o) (record[o].through + 1 >= start)
#endif
#ifdef PEER_ALWAYS
#define NEWER (peer > 0)
#else
#define NEWER (peer > through)
#endif

typedef Record {
  bool snapshot;
  byte base;    /* of a change */
  byte version; /* of a snapshot; of a change with CLOCK_VERSION */
  byte through; /* of a snapshot: it includes all records up to this offset */
};

Record record[N + 1];
byte length = 0;
byte inForce[N + 1];   /* version in force after each offset */
byte acceptedOn[N + 1]; /* changes accepted against each version */

/* Sets AFTER to the version in force after the record at O, given the version
   BEFORE it. */
inline Evaluate(before, o, after) {
  after = before;
  if
  :: record[o].snapshot -> skip
  :: else ->
     if
#ifdef LAST_WRITER_WINS
     :: true -> after = o
#else
     :: record[o].base == before ->
#ifdef CLOCK_VERSION
        after = record[o].version
#else
        after = o
#endif
     :: else -> skip
#endif
     fi
  fi
}

inline AppendChange(aBase) {
  d_step {
    if
    :: length < N ->
       length++;
       record[length].snapshot = false;
       record[length].base = aBase;
       Evaluate(inForce[length - 1], length, inForce[length]);
       if
       :: inForce[length] != inForce[length - 1] ->
          assert(inForce[length] > inForce[length - 1]);
          acceptedOn[aBase]++;
          assert(acceptedOn[aBase] == 1)
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

active [2] proctype Operator() {
  byte base;
  byte clock = 1;
  byte changes = 0;
  do
  :: changes < 2 ->
     base = inForce[length];
#ifdef CLOCK_VERSION
     /* The clocks of two operators differ. */
     if
     :: clock = 1
     :: clock = 3
     fi;
     atomic {
       if
       :: length < N -> record[length + 1].version = clock
       :: else -> skip
       fi;
       AppendChange(base)
     }
#else
     AppendChange(base);
#endif
     if
     :: changes == 0 -> AppendChange(base) /* retries: the response was lost after the append took effect */
     :: skip
     fi;
     d_step { changes++; base = 0; clock = 1 }
  :: changes == 2 -> break
  od
}

active proctype Snapshotter() {
  byte version;
  byte through;
  byte snapshots = 0;
  do
  :: snapshots < 2 && length < N && inForce[length] > 0 ->
     d_step { version = inForce[length]; through = length }
     d_step {
       if
       :: length < N ->
          length++;
          record[length].snapshot = true;
          record[length].version = version;
          record[length].through = through;
          inForce[length] = inForce[length - 1]
       :: else -> skip
       fi
     }
     d_step { snapshots++; version = 0; through = 0 }
  :: snapshots == 2 || length == N -> break
  od
}

active proctype Reader() {
  byte version = 0;
  byte through = 0; /* all records up to here are included in version */
  byte next = 1;    /* the next record to read */
  byte start = 1;   /* the first record read since the last gap */
  byte peer;
  byte before;
  byte i;
  bool anchored;
  do
  :: /* the log drops a record that the reader has not read */
     d_step {
       next <= length -> next++; start = next
     }
  :: d_step {
       next <= length ->
       anchored = (next == through + 1);
       before = version;
       next++;
       if
       :: anchored ->
          Evaluate(before, next - 1, version);
          through = next - 1
       :: !anchored && record[next - 1].snapshot &&
          record[next - 1].version >= version && ANCHORS(next - 1) ->
          version = record[next - 1].version;
#ifdef SNAPSHOT_BURIES
          through = next - 1;
#else
          i = record[next - 1].through + 1;
          do
          :: i < next ->
             if
             :: i >= start ->
                peer = version;
                Evaluate(peer, i, version)
             :: else -> skip
             fi;
             i++
          :: else -> break
          od;
          through = next - 1;
#endif
       :: else -> skip
       fi;
       assert(version >= before);
       assert(through + 1 != next || version == inForce[next - 1]);
       i = 0; peer = 0; before = 0; anchored = false
     }
  :: /* a peer that has read any prefix of the log pushes its configuration */
     atomic {
       peer = 0;
       do
       :: peer < length -> peer++
       :: break
       od;
       d_step {
         peer = inForce[peer];
         before = version;
         anchored = (next == through + 1);
         if
         :: NEWER ->
            version = peer;
            if
            :: anchored || peer + 1 >= start ->
               i = peer + 1;
               do
               :: i < next ->
                  if
                  :: i >= start ->
                     peer = version;
                     Evaluate(peer, i, version)
                  :: else -> skip
                  fi;
                  i++
               :: else -> break
               od;
               if
               :: version + 1 > next -> next = version + 1
               :: else -> skip
               fi;
               through = next - 1
            :: else -> through = peer
            fi
         :: else -> skip
         fi;
         assert(version >= before);
         assert(through + 1 != next || version == inForce[next - 1]);
         i = 0; peer = 0; before = 0; anchored = false
       }
     }
  :: next > N -> break
  od
}

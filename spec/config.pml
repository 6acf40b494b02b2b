// Acceptance of configuration changes from a log that loses its oldest records.
//
// Operators append changes made against the version they have read, perhaps
// twice when an answer is lost; daemons append snapshots of what they have
// read, perhaps late; the log forgets its oldest records at any time. A reader
// that may lag, start late, lose records and hear from peers must agree with
// the evaluation of the whole log whenever it believes that nothing is missing,
// and must never go back.
//
// BROKEN: LAST_WRITER_WINS (a change is accepted whatever its base)
// BROKEN: SNAPSHOT_BURIES (a snapshot is adopted as of its own offset)
// BROKEN: SNAPSHOT_ANYWHERE (a snapshot is adopted though records are missing)
// BROKEN: CLOCK_VERSION (the version is the writer's clock, not the offset)
// BROKEN: PEER_ALWAYS (a peer's configuration is taken though it is older)

#define N 5 /* records that the log takes */

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
  byte through; /* of a snapshot: all records up to here are in it */
};

Record record[N + 1];
byte length = 0;
byte truth[N + 1];   /* version in force after each offset */
byte acceptedOn[N + 1]; /* changes accepted against each version */

/* The version after judging the record at O when BEFORE was in force. */
inline Judge(before, o, after) {
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
       Judge(truth[length - 1], length, truth[length]);
       if
       :: truth[length] != truth[length - 1] ->
          assert(truth[length] > truth[length - 1]);
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
     base = truth[length];
#ifdef CLOCK_VERSION
     /* Two clocks that differ. */
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
     :: changes == 0 -> AppendChange(base) /* the answer was lost after it took effect */
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
  :: snapshots < 2 && length < N && truth[length] > 0 ->
     d_step { version = truth[length]; through = length }
     d_step {
       if
       :: length < N ->
          length++;
          record[length].snapshot = true;
          record[length].version = version;
          record[length].through = through;
          truth[length] = truth[length - 1]
       :: else -> skip
       fi
     }
     d_step { snapshots++; version = 0; through = 0 }
  :: snapshots == 2 || length == N -> break
  od
}

active proctype Reader() {
  byte version = 0;
  byte through = 0; /* all records up to here are accounted for */
  byte next = 1;    /* the next record to read */
  byte start = 1;   /* the first record read since the last gap */
  byte peer;
  byte before;
  byte i;
  bool anchored;
  do
  :: /* while it was away the log lost records that it has not read */
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
          Judge(before, next - 1, version);
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
                Judge(peer, i, version)
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
       assert(through + 1 != next || version == truth[next - 1]);
       i = 0; peer = 0; before = 0; anchored = false
     }
  :: /* a peer that has read any prefix pushes what it has */
     atomic {
       peer = 0;
       do
       :: peer < length -> peer++
       :: break
       od;
       d_step {
         peer = truth[peer];
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
                     Judge(peer, i, version)
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
         assert(through + 1 != next || version == truth[next - 1]);
         i = 0; peer = 0; before = 0; anchored = false
       }
     }
  :: next > N -> break
  od
}

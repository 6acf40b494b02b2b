// Which version began a stream, around the moment at which a second version
// joins.
//
// Router B begins one stream: at the old version, or at the new one once B lists
// that and its delay is over. A moment later it tells two keepers and, if it
// lists both versions, writes the stream down in the journal. B may fail at any
// time: it is frozen, gone or cut off. One message or one keeper may be lost as
// well. Then the caller takes the stream up at router A, which asks the keepers
// and reads the journal.
//
// The new version joins at any time, and each router lists it on its own. While
// A's list counts as up to date, the new version gets no stream before A lists
// it, as kVersionDelay and kFreshListAge ensure. A's list may also be stale.
//
// Checked: a stream that goes on does so at the version that began it. A stream
// that had begun a moment before B failed is not refused.
//
// BROKEN: ONE_VERSION_UNTOLD  nothing is told while B lists one version only;
//                             what had begun is told when it lists the second
// BROKEN: GUESS_OLD_VERSION   a stream without a record is taken for one of the
//                             old version
// BROKEN: STALE_LIST_COUNTS   one version in a stale list counts as proof

#define NONE 0
#define OLD 1
#define NEW 2
#define KEEPERS 2

bool joined; // the new version is listed in the store
bool listedA;
bool listedB;
bool staleA; // A's list
bool failed; // B
bool settled; // B was sound a moment after the stream had begun
bool takenUp;
byte began = NONE;
byte message[KEEPERS]; // in flight to a keeper
byte keeper[KEEPERS];  // what it knows
byte journal = NONE;
byte losses;

inline tell()
{
  message[0] = began;
  message[1] = began
}

active proctype Fleet()
{
  do
  :: !joined -> joined = true
  :: joined && !listedA && !staleA -> listedA = true
  :: !listedA -> staleA = true
  od
}

active proctype RouterB()
{
  do
  :: !failed -> failed = true; break
  :: joined && !listedB -> atomic {
       if
       :: failed -> break
       :: else -> listedB = true
       fi;
#ifdef ONE_VERSION_UNTOLD
       if
       :: settled -> tell(); journal = began
       :: else
       fi
#endif
     }
  :: began == NONE -> atomic {
       if
       :: failed -> break
       :: !failed -> began = OLD
       :: !failed && listedB && (listedA || staleA) -> began = NEW
       fi
     }
  :: began != NONE && !settled -> atomic {
       if
       :: failed -> break
       :: else -> settled = true
       fi;
#ifdef ONE_VERSION_UNTOLD
       if
       :: listedB -> tell(); journal = began
       :: else
       fi
#else
       tell();
       if
       :: listedB -> journal = began
       :: else
       fi
#endif
     }
  od
}

active proctype Network()
{
  byte k;
  do
  :: k = 0; if
     :: message[k] != NONE -> atomic { keeper[k] = message[k]; message[k] = NONE }
     :: message[k] != NONE && losses == 0 -> atomic { message[k] = NONE; losses = 1 }
     :: keeper[k] != NONE && losses == 0 -> atomic { keeper[k] = NONE; losses = 1 }
     :: else
     fi
  :: k = 1; if
     :: message[k] != NONE -> atomic { keeper[k] = message[k]; message[k] = NONE }
     :: message[k] != NONE && losses == 0 -> atomic { message[k] = NONE; losses = 1 }
     :: keeper[k] != NONE && losses == 0 -> atomic { keeper[k] = NONE; losses = 1 }
     :: else
     fi
  od
}

active proctype RouterA()
{
  byte version = NONE;
  failed && began != NONE && message[0] == NONE && message[1] == NONE;
  atomic {
    if
    :: keeper[0] != NONE -> version = keeper[0]
    :: keeper[0] == NONE && keeper[1] != NONE -> version = keeper[1]
    :: else -> version = journal
    fi;
    if
#ifdef STALE_LIST_COUNTS
    :: version == NONE && !listedA -> version = OLD
#else
    :: version == NONE && !listedA && !staleA -> version = OLD
#endif
#ifdef GUESS_OLD_VERSION
    :: version == NONE && listedA -> version = OLD
#endif
    :: else
    fi;
    takenUp = true;
    assert(version == NONE || version == began);
    assert(version != NONE || !settled)
  }
}

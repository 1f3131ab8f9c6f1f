/*
 * Models one database group: three databases with replication, two promoters,
 * two home nodes that process the same request id, and a write of another
 * caller. With WITH_FILE_LOSS, one database may lose its file.
 * docs/design/model.md describes the scope of the model.
 *
 * Each faulty variant of the protocol is selected by a macro. Model/check.sh
 * checks that each of them has a counterexample and that the unmodified model
 * has none. The macros NO_HOMES, NO_SETTLER and NO_OTHER_CALLER leave out
 * processes that a counterexample does not need, which shortens the search.
 */

#define DATABASES 3
#define MAJORITY 2
#define LAST_TERM 3
#define LONGEST_LOG 3

/* The number of attempts of each home node. */
#ifndef TRIES
#define TRIES 2
#endif

/* The kinds of log entries. */
#define NOTHING 0
#define RUN 1
#define TOMBSTONE 2
#define OTHER 3

typedef Database {
  byte promised;
  byte owner;
  byte logTerm;
  byte length;
  byte term[LONGEST_LOG];
  byte kind[LONGEST_LOG];
  /* The database that it replicates from, counted from 1; 0 is none. */
  byte follows;
  bool isPrimary;
  bool isJoining;
  byte admittedBy;
  /* Changes from 0 to 1 when the database loses its file. */
  bit identity;
  /* A fence has announced the new identity of the database without its file. */
  bool knowsLoss
};

Database db[DATABASES];
/*
 * For each term: its primary, counted from 1 (0 is none), and the length of
 * the primary's log when it was promoted.
 */
byte primaryOf[LAST_TERM + 1];
byte promotedAt[LAST_TERM + 1];

bool reportedRun = false;
bool reportedNotRun = false;
bool reportedOther = false;
bool ledgerExpired = false;
byte homesDone = 0;
/* The database that lost its file, counted from 1; 0 is none. */
byte lostDatabase = 0;

/* Scratch variables for use within a d_step; zero outside of it. */
byte i, k, n, h;
bool b, c;

inline Contains(aDb, aKind, aResult)
{
  aResult = false;
  k = 0;
  do
  :: k < db[aDb].length -> aResult = aResult || db[aDb].kind[k] == aKind; k++
  :: else -> break
  od;
  k = 0
}

/*
 * Asserts that the log of the latest primary agrees with the outcomes that were
 * reported to the callers.
 */
inline CheckInvariants()
{
  h = LAST_TERM;
  do
  :: h > 0 && primaryOf[h] == 0 -> h--
  :: else -> break
  od;
  if
  :: h > 0 && db[primaryOf[h] - 1].isPrimary &&
     db[primaryOf[h] - 1].promised == h ->
     n = primaryOf[h] - 1;
     Contains(n, RUN, b);
     Contains(n, TOMBSTONE, c);
     assert(!reportedRun || b);
     assert(!reportedNotRun || !b);
     assert(!(b && c) || ledgerExpired);
     Contains(n, OTHER, c);
     assert(!reportedOther || c);
     /* The log must contain the request at most once. */
     k = 0;
     i = 0;
     do
     :: k < db[n].length ->
        i = i + (db[n].kind[k] == RUN -> 1 : 0);
        k++
     :: else -> break
     od;
     assert(i <= 1)
  :: else
  fi;
  assert(!(reportedRun && reportedNotRun));
  i = 0; k = 0; n = 0; h = 0; b = false; c = false
}

inline TruncateTo(aDb, aLength)
{
  do
  :: db[aDb].length > aLength ->
     db[aDb].length--;
     db[aDb].term[db[aDb].length] = 0;
     db[aDb].kind[db[aDb].length] = NOTHING
  :: else -> break
  od
}

inline Append(aDb, aTerm, aKind)
{
  db[aDb].term[db[aDb].length] = aTerm;
  db[aDb].kind[db[aDb].length] = aKind;
  db[aDb].length++
}

/*
 * Sets the log term of aDb to its promised term if its log has reached the
 * position of the promotion. Completes its admission if it is joining.
 */
inline TakeLogTerm(aDb)
{
  if
  :: db[aDb].length >= promotedAt[db[aDb].promised] ->
     db[aDb].logTerm = db[aDb].promised;
     if
     :: db[aDb].isJoining && db[aDb].admittedBy == db[aDb].promised ->
        db[aDb].isJoining = false
     :: else
     fi
  :: else
  fi
}

/*
 * One replication step of aDb from aPrimary: truncates the log at the first
 * difference, or copies one entry.
 */
inline Pull(aDb, aPrimary)
{
  n = 0;
  do
  :: n < db[aDb].length && n < db[aPrimary].length &&
     db[aDb].term[n] == db[aPrimary].term[n] &&
     db[aDb].kind[n] == db[aPrimary].kind[n] -> n++
  :: else -> break
  od;
  if
  :: db[aDb].length > n -> TruncateTo(aDb, n)
  :: db[aDb].length == n && n < db[aPrimary].length ->
     Append(aDb, db[aPrimary].term[n], db[aPrimary].kind[n])
  :: else
  fi;
  n = 0;
  TakeLogTerm(aDb)
}

inline Follow(aDb, aTerm, aOwner, aPrimary)
{
  if
  :: (aTerm > db[aDb].promised ||
      (aTerm == db[aDb].promised && aOwner == db[aDb].owner)) &&
     !(db[aDb].isPrimary && db[aDb].promised == aTerm) ->
     db[aDb].promised = aTerm;
     db[aDb].owner = aOwner;
     db[aDb].isPrimary = false;
     db[aDb].follows = aPrimary + 1;
#ifdef LOG_TERM_EARLY
     db[aDb].logTerm = aTerm
#endif
  :: else
  fi
}

/*
 * Replicates, and makes databases with an older term follow the primary, as the
 * group monitors do.
 */
proctype Replication()
{
  byte f;
end:
  do
  :: select(f : 0 .. 2);
  skip;
     if
     :: d_step {
          db[f].follows != 0 && !db[f].isPrimary &&
          db[db[f].follows - 1].isPrimary &&
          db[db[f].follows - 1].promised == db[f].promised ->
          i = db[f].follows - 1;
          Pull(f, i);
          i = 0;
          f = 0
        }
     :: d_step {
          db[f].isPrimary ->
          i = 0;
          do
          :: i < DATABASES ->
             if
             :: i != f && db[i].promised < db[f].promised ->
                Follow(i, db[f].promised, db[f].owner, f)
             :: else
             fi;
             i++
          :: else -> break
          od;
          i = 0;
          f = 0
        }
     :: f = 0
     fi
  od
}

/* A vote received by a promoter: the state of the voter's log at that time. */
typedef Vote {
  bool given;
  bit identity;
  byte term;
  byte length
};

/*
 * One promotion attempt, which may stop or pause at any step. It admits a
 * joining database only if it knew of it before the first fence. Every fence
 * then announces the new identity, which invalidates votes of the old one.
 */
proctype Promoter(byte me)
{
  byte term, at, votes, best;
  bool found, admits, sawLoss;
  Vote vote[DATABASES];
  if
  :: term = 2
  :: term = 3
  fi;
  skip;
  d_step {
    admits = (lostDatabase > 0 -> db[lostDatabase - 1].isJoining : false)
  };
  do
  :: at < DATABASES ->
     if
     :: d_step {
          term > db[at].promised ||
          (term == db[at].promised && me == db[at].owner) ->
          db[at].promised = term;
          db[at].owner = me;
          db[at].isPrimary = false;
          db[at].follows = 0;
#ifndef NO_IDENTITIES
          db[at].knowsLoss = db[at].knowsLoss || admits;
#endif
          sawLoss = sawLoss || db[at].knowsLoss;
          if
          :: db[at].isJoining && admits -> db[at].admittedBy = term
          :: db[at].isJoining && !admits
          :: else ->
             vote[at].given = true;
             vote[at].identity = db[at].identity;
             vote[at].term = db[at].logTerm;
             vote[at].length = db[at].length
          fi
        }
     :: skip
     fi;
     at++
  :: else -> break
  od;
  skip;
  d_step {
    /*
     * Discards the vote of the lost identity, counts the votes, and chooses the
     * database with the most advanced log.
     */
    if
    :: sawLoss && vote[lostDatabase - 1].given &&
       vote[lostDatabase - 1].identity == 0 ->
       vote[lostDatabase - 1].given = false
    :: else
    fi;
    at = 0;
    do
    :: at < DATABASES ->
       if
       :: vote[at].given ->
          votes++;
#ifdef CHOOSE_BY_POSITION
          b = vote[at].length > vote[best].length;
#else
          b = vote[at].term > vote[best].term ||
              (vote[at].term == vote[best].term &&
               vote[at].length > vote[best].length);
#endif
          if
          :: !found || b ->
             found = true;
             best = at
          :: else
          fi;
          b = false
       :: else
       fi;
       at++
    :: else -> break
    od;
    at = 0
  };
  if
#ifdef MINORITY
  :: votes >= 1
#else
  :: votes >= MAJORITY
#endif
     -> d_step {
       if
       :: db[best].promised == term && db[best].owner == me &&
          !db[best].isJoining ->
          db[best].isPrimary = true;
          db[best].logTerm = term;
          promotedAt[term] = db[best].length;
          primaryOf[term] = best + 1;
          CheckInvariants()
       :: else -> found = false
       fi
     }
  :: else -> found = false
  fi;
  do
  :: found && at < DATABASES ->
     if
     :: at != best -> d_step { Follow(at, term, me, best) }
     :: skip
     fi;
     at++
  :: else -> break
  od
}

/*
 * A home node that runs or repeats the request. If maySettle is set, its last
 * attempt writes a tombstone, which settles the request as not run.
 */
proctype Home(bool maySettle)
{
  byte tries, p, kind, term, position, confirmations, at;
  do
  :: tries < TRIES ->
     tries++;
     select(p : 0 .. 2);
  skip;
     if
     :: db[p].isPrimary -> d_step {
          /* The primary returns the entry of the request id, or appends one. */
          if
          :: db[p].isPrimary ->
             term = db[p].logTerm;
             Contains(p, RUN, b);
             Contains(p, TOMBSTONE, c);
             if
             :: b && !ledgerExpired -> kind = RUN
             :: c && !ledgerExpired -> kind = TOMBSTONE
             :: else ->
                if
                :: db[p].length < LONGEST_LOG ->
                   kind = (maySettle && tries == TRIES -> TOMBSTONE : RUN);
                   Append(p, term, kind)
                :: else
                fi
             fi;
             position = db[p].length;
             b = false;
             c = false;
             CheckInvariants()
          :: else
          fi
        }
     :: else
     fi;
     /* Collects confirmations from the databases one by one. */
     do
     :: kind != NOTHING && at < DATABASES ->
        if
        :: d_step {
#ifdef CONFIRM_WITHOUT_TERM
             db[at].length >= position ->
#else
             db[at].promised == term && db[at].logTerm == term &&
             !db[at].isJoining && db[at].length >= position ->
#endif
             confirmations++
           }
        :: skip
        fi;
        at++
     :: else -> break
     od;
#ifdef UNCONFIRMED_TOMBSTONE
     confirmations = (kind == TOMBSTONE -> MAJORITY : confirmations);
#endif
#ifdef UNCONFIRMED_WRITE
     confirmations = (kind == RUN -> MAJORITY : confirmations);
#endif
     skip;
     d_step {
       if
       :: kind == RUN && confirmations >= MAJORITY -> reportedRun = true
       :: kind == TOMBSTONE && confirmations >= MAJORITY ->
          reportedNotRun = true
       :: else
       fi;
       CheckInvariants();
       at = 0; confirmations = 0; kind = NOTHING; position = 0; term = 0; p = 0
     }
  :: else -> break
  od;
  homesDone++
}

proctype OtherCaller()
{
  byte p, term, position, confirmations, at;
  select(p : 0 .. 2);
  skip;
  d_step {
    if
    :: db[p].isPrimary && db[p].length < LONGEST_LOG ->
       term = db[p].logTerm;
       Append(p, term, OTHER);
       position = db[p].length;
       CheckInvariants()
    :: else
    fi
  };
  do
  :: position > 0 && at < DATABASES ->
     if
     :: d_step {
#ifdef CONFIRM_WITHOUT_TERM
          db[at].length >= position ->
#else
          db[at].promised == term && db[at].logTerm == term &&
          !db[at].isJoining && db[at].length >= position ->
#endif
          confirmations++
        }
     :: skip
     fi;
     at++
  :: else -> break
  od;
  skip;
  d_step {
    if
    :: confirmations >= MAJORITY -> reportedOther = true
    :: else
    fi;
    CheckInvariants()
  }
}

/* One database restarts without its file, under a new identity. */
proctype FileLoss()
{
  byte lost;
  select(lost : 0 .. 2);
  skip;
  d_step {
    TruncateTo(lost, 0);
    db[lost].promised = 0;
    db[lost].owner = 0;
    db[lost].logTerm = 0;
    db[lost].isPrimary = false;
    db[lost].follows = 0;
    db[lost].identity = 1;
    db[lost].knowsLoss = false;
    lostDatabase = lost + 1;
#ifndef FORGETS_ITS_LOSS
    db[lost].isJoining = true;
#endif
    db[lost].admittedBy = 0
  }
}

/*
 * The expiry of the ledger entry, which must not come before the last use of
 * the request id.
 */
proctype Expiry()
{
#ifdef EXPIRES_EARLY
  ledgerExpired = true
#else
  homesDone == 2 -> ledgerExpired = true
#endif
}

init
{
  atomic {
    db[0].promised = 1;
    db[0].logTerm = 1;
    db[0].isPrimary = true;
    primaryOf[1] = 1;
    db[1].promised = 1;
    db[1].logTerm = 1;
    db[1].follows = 1;
    db[2].promised = 1;
    db[2].logTerm = 1;
    db[2].follows = 1;
    run Replication();
    run Promoter(1);
    run Promoter(2);
#ifndef NO_HOMES
    run Home(false);
#ifndef NO_SETTLER
    run Home(true);
#endif
#endif
#ifndef NO_OTHER_CALLER
    run OtherCaller();
#endif
#ifdef WITH_FILE_LOSS
    run FileLoss();
#endif
#if !defined(NO_HOMES) && !defined(NO_SETTLER)
    run Expiry()
#endif
  }
}

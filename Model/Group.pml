/*
 * One database group: three databases that replicate, two promoters, two homes
 * that work on the same request id, and another caller's write. One database
 * may lose its file. docs/design/model.md says what is and isn't in here.
 *
 * Each broken variant is a macro; Model/check.sh shows that every one of them
 * leads to a counterexample and that the model without any does not. The
 * NO_... macros leave processes out that a variant's counterexample does not
 * need, so that it is found soon.
 */

#define DATABASES 3
#define MAJORITY 2
#define LAST_TERM 3
#define LONGEST_LOG 3

/* How often each home tries. */
#ifndef TRIES
#define TRIES 2
#endif

/* What a log entry holds. */
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
  byte what[LONGEST_LOG];
  /* The database that it follows, counted from 1; 0 is none. */
  byte follows;
  bool isPrimary;
  bool isJoining;
  byte admittedBy;
  /* Rises when the database loses its file. */
  bit identity;
  /* A fence has told it that the database which lost its file is another. */
  bool knowsLoss
};

Database db[DATABASES];
/* For each term: its primary, counted from 1, and where its log began. */
byte leader[LAST_TERM + 1];
byte promotedAt[LAST_TERM + 1];

bool toldRun = false;
bool toldNotRun = false;
bool toldOther = false;
bool ledgerForgets = false;
byte homesDone = 0;
/* The database that lost its file, counted from 1; 0 is none. */
byte lostOne = 0;

/* Scratch variables of d_steps; always zero between them. */
byte i, k, n, h;
bool b, c;

inline Contains(aDb, aWhat, aResult)
{
  aResult = false;
  k = 0;
  do
  :: k < db[aDb].length -> aResult = aResult || db[aDb].what[k] == aWhat; k++
  :: else -> break
  od;
  k = 0
}

/* What the callers were told must be so in the latest primary's log. */
inline Check()
{
  h = LAST_TERM;
  do
  :: h > 0 && leader[h] == 0 -> h--
  :: else -> break
  od;
  if
  :: h > 0 && db[leader[h] - 1].isPrimary &&
     db[leader[h] - 1].promised == h ->
     n = leader[h] - 1;
     Contains(n, RUN, b);
     Contains(n, TOMBSTONE, c);
     assert(!toldRun || b);
     assert(!toldNotRun || !b);
     assert(!(b && c) || ledgerForgets);
     Contains(n, OTHER, c);
     assert(!toldOther || c);
     /* The request is in the log at most once. */
     k = 0;
     i = 0;
     do
     :: k < db[n].length ->
        i = i + (db[n].what[k] == RUN -> 1 : 0);
        k++
     :: else -> break
     od;
     assert(i <= 1)
  :: else
  fi;
  assert(!(toldRun && toldNotRun));
  i = 0; k = 0; n = 0; h = 0; b = false; c = false
}

inline CutTo(aDb, aLength)
{
  do
  :: db[aDb].length > aLength ->
     db[aDb].length--;
     db[aDb].term[db[aDb].length] = 0;
     db[aDb].what[db[aDb].length] = NOTHING
  :: else -> break
  od
}

inline Append(aDb, aTerm, aWhat)
{
  db[aDb].term[db[aDb].length] = aTerm;
  db[aDb].what[db[aDb].length] = aWhat;
  db[aDb].length++
}

/* aDb takes the log term when its log has caught up with the promotion. */
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

/* One pull of aDb from aPrimary: cut what differs, or copy one entry. */
inline Pull(aDb, aPrimary)
{
  n = 0;
  do
  :: n < db[aDb].length && n < db[aPrimary].length &&
     db[aDb].term[n] == db[aPrimary].term[n] &&
     db[aDb].what[n] == db[aPrimary].what[n] -> n++
  :: else -> break
  od;
  if
  :: db[aDb].length > n -> CutTo(aDb, n)
  :: db[aDb].length == n && n < db[aPrimary].length ->
     Append(aDb, db[aPrimary].term[n], db[aPrimary].what[n])
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

/* Replication, and the watchers' pointing of strays at a primary. */
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

/* A vote that a promoter holds: the voter's log when it gave it. */
typedef Vote {
  bool given;
  bit identity;
  byte term;
  byte length
};

/*
 * One attempt to promote; it may stop, or be paused, at any step. It lets a
 * joining database in only if it knew of it from the start, so that every
 * fence told of the new identity; a vote of the old one is then void.
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
    admits = (lostOne > 0 -> db[lostOne - 1].isJoining : false)
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
    /* Void the lost identity's vote, count, and choose the furthest. */
    if
    :: sawLoss && vote[lostOne - 1].given &&
       vote[lostOne - 1].identity == 0 ->
       vote[lostOne - 1].given = false
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
          leader[term] = best + 1;
          Check()
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

/* A home that runs, repeats or closes the one request id. */
proctype Home(bool mayClose)
{
  byte tries, p, what, term, place, held, at;
  do
  :: tries < TRIES ->
     tries++;
     select(p : 0 .. 2);
  skip;
     if
     :: db[p].isPrimary -> d_step {
          /* The database tells of the id's entry, or takes a new one. */
          if
          :: db[p].isPrimary ->
             term = db[p].logTerm;
             Contains(p, RUN, b);
             Contains(p, TOMBSTONE, c);
             if
             :: b && !ledgerForgets -> what = RUN
             :: c && !ledgerForgets -> what = TOMBSTONE
             :: else ->
                if
                :: db[p].length < LONGEST_LOG ->
                   what = (mayClose && tries == TRIES -> TOMBSTONE : RUN);
                   Append(p, term, what)
                :: else
                fi
             fi;
             place = db[p].length;
             b = false;
             c = false;
             Check()
          :: else
          fi
        }
     :: else
     fi;
     /* Confirmation: answers of the databases, one after the other. */
     do
     :: what != NOTHING && at < DATABASES ->
        if
        :: d_step {
#ifdef CONFIRM_WITHOUT_TERM
             db[at].length >= place ->
#else
             db[at].promised == term && db[at].logTerm == term &&
             !db[at].isJoining && db[at].length >= place ->
#endif
             held++
           }
        :: skip
        fi;
        at++
     :: else -> break
     od;
#ifdef UNCONFIRMED_TOMBSTONE
     held = (what == TOMBSTONE -> MAJORITY : held);
#endif
#ifdef UNCONFIRMED_WRITE
     held = (what == RUN -> MAJORITY : held);
#endif
     skip;
     d_step {
       if
       :: what == RUN && held >= MAJORITY -> toldRun = true
       :: what == TOMBSTONE && held >= MAJORITY -> toldNotRun = true
       :: else
       fi;
       Check();
       at = 0; held = 0; what = NOTHING; place = 0; term = 0; p = 0
     }
  :: else -> break
  od;
  homesDone++
}

proctype OtherCaller()
{
  byte p, term, place, held, at;
  select(p : 0 .. 2);
  skip;
  d_step {
    if
    :: db[p].isPrimary && db[p].length < LONGEST_LOG ->
       term = db[p].logTerm;
       Append(p, term, OTHER);
       place = db[p].length;
       Check()
    :: else
    fi
  };
  do
  :: place > 0 && at < DATABASES ->
     if
     :: d_step {
#ifdef CONFIRM_WITHOUT_TERM
          db[at].length >= place ->
#else
          db[at].promised == term && db[at].logTerm == term &&
          !db[at].isJoining && db[at].length >= place ->
#endif
          held++
        }
     :: skip
     fi;
     at++
  :: else -> break
  od;
  skip;
  d_step {
    if
    :: held >= MAJORITY -> toldOther = true
    :: else
    fi;
    Check()
  }
}

/* One database comes back without its file, as a new identity. */
proctype FileLoss()
{
  byte lost;
  select(lost : 0 .. 2);
  skip;
  d_step {
    CutTo(lost, 0);
    db[lost].promised = 0;
    db[lost].owner = 0;
    db[lost].logTerm = 0;
    db[lost].isPrimary = false;
    db[lost].follows = 0;
    db[lost].identity = 1;
    db[lost].knowsLoss = false;
    lostOne = lost + 1;
#ifndef FORGETS_ITS_LOSS
    db[lost].isJoining = true;
#endif
    db[lost].admittedBy = 0
  }
}

/* The ledger's expiry, which may come only after the last use of the id. */
proctype Expiry()
{
#ifdef EXPIRES_EARLY
  ledgerForgets = true
#else
  homesDone == 2 -> ledgerForgets = true
#endif
}

init
{
  atomic {
    db[0].promised = 1;
    db[0].logTerm = 1;
    db[0].isPrimary = true;
    leader[1] = 1;
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

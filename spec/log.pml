/* The replicated log: elections, commits, one-at-a-time membership change, a lost disk.
 *
 * Ids 0, 1 and 2 are the initial voters; id 3 is the new id of a replica whose disk was emptied.
 * A step of two replicas is one exchange of messages; a lost exchange is a step that isn't taken.
 * Checked: no two replicas commit different entries at an index, and every leader's log holds all
 * entries that leaders of earlier terms committed.
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 3
#endif
#define IDS 4
#define NOBODY 15
#define FIRST 7 /* the bit set of ids 0, 1 and 2 */

typedef Replica {
  bool running;
  byte term;
  byte vote;
  byte role; /* 0 follower, 1 candidate, 2 leader */
  byte votes;
  byte length;
  byte commit;
  byte entry[LENGTH];  /* the term of each entry */
  byte members[LENGTH]; /* the bit set of voters that an entry sets, or 0 */
  byte match[IDS];
};

Replica r[IDS];
byte committed[LENGTH];
byte committed_members[LENGTH];
byte committed_in[LENGTH]; /* the term of the leader that committed each entry */
byte committed_length;
bool disk_lost;
byte i, j, n, k, voters, count, last, other;

#define HAS(set, id) (((set) >> (id)) & 1)

inline find_voters(x) {
  voters = FIRST; n = 0;
  do
  :: n < r[x].length -> if :: r[x].members[n] -> voters = r[x].members[n] :: else fi; n++
  :: else -> break
  od
}

inline count_bits(set) {
  count = HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3)
}

/* Sets k to 1 if the set holds a majority of the voters. */
inline majority(set) {
  count_bits(voters & (set)); k = count;
  count_bits(voters);
#ifdef MUTANT_SMALL_QUORUM
  k = (k >= count / 2 -> 1 : 0)
#else
  k = (k >= count / 2 + 1 -> 1 : 0)
#endif
}

inline campaign() {
  find_voters(i);
  if
  :: r[i].running && r[i].role != 2 && r[i].term < TERMS && HAS(voters, i) ->
     r[i].term++; r[i].vote = i; r[i].role = 1; r[i].votes = 1 << i
  :: else
  fi
}

inline ask_vote() {
  find_voters(i);
  if
  :: r[i].running && r[j].running && r[i].role == 1 && i != j && HAS(voters, j) &&
     r[j].term <= r[i].term ->
     if
     :: r[j].term < r[i].term -> r[j].term = r[i].term; r[j].vote = NOBODY; r[j].role = 0
     :: else
     fi;
     last = (r[j].length -> r[j].entry[r[j].length - 1] : 0);
     other = (r[i].length -> r[i].entry[r[i].length - 1] : 0);
     if
     :: r[j].role == 0 &&
#ifndef MUTANT_VOTES_TWICE
        (r[j].vote == NOBODY || r[j].vote == i) &&
#endif
#ifndef MUTANT_VOTES_FOR_SHORTER
        (other > last || (other == last && r[i].length >= r[j].length)) &&
#endif
        true ->
        r[j].vote = i; r[i].votes = r[i].votes | (1 << j)
     :: else
     fi
  :: else
  fi
}

inline lead() {
  find_voters(i);
  if
  :: r[i].running && r[i].role == 1 ->
     majority(r[i].votes);
     if
     :: k ->
        r[i].role = 2;
        n = 0;
        do
        :: n < IDS -> r[i].match[n] = 0; n++
        :: else -> break
        od;
        /* Leader completeness: the log holds all entries that earlier terms committed. */
        n = 0;
        do
        :: n < committed_length ->
           assert(committed_in[n] >= r[i].term ||
                  (r[i].length > n && r[i].entry[n] == committed[n] &&
                   r[i].members[n] == committed_members[n]));
           n++
        :: else -> break
        od
     :: else
     fi
  :: else
  fi
}

inline append_one() {
  if
  :: r[i].running && r[i].role == 2 && r[i].length < LENGTH ->
     r[i].entry[r[i].length] = r[i].term; r[i].members[r[i].length] = 0; r[i].length++
  :: else
  fi
}

/* Adds id 3 or removes id j, if the leader has committed an entry of its own term and there is no
 * other uncommitted change. */
inline change_members() {
  find_voters(i);
  k = 1; n = r[i].commit;
  do
  :: n < r[i].length -> if :: r[i].members[n] -> k = 0 :: else fi; n++
  :: else -> break
  od;
  if
  :: r[i].running && r[i].role == 2 && r[i].length < LENGTH &&
#ifndef MUTANT_CHANGES_EARLY
     k && r[i].commit > 0 && r[i].entry[r[i].commit - 1] == r[i].term &&
#endif
     true ->
     if
     :: disk_lost && !HAS(voters, 3) -> other = voters | 8
     :: HAS(voters, 3) && HAS(voters, j) && j != 3 && j != i -> other = voters & ~(1 << j)
#ifdef MUTANT_CHANGES_TWO
     :: disk_lost && !HAS(voters, 3) && j != i && j != 3 -> other = (voters | 8) & ~(1 << j)
#endif
     :: else -> other = 0
     fi;
     if
     :: other -> r[i].entry[r[i].length] = r[i].term; r[i].members[r[i].length] = other;
                 r[i].length++
     :: else
     fi
  :: else
  fi
}

inline replicate() {
  if
  :: r[i].running && r[j].running && r[i].role == 2 && i != j && r[j].term <= r[i].term ->
     if
     :: r[j].term < r[i].term -> r[j].term = r[i].term; r[j].vote = NOBODY
     :: else
     fi;
     r[j].role = 0;
     n = 0; k = 1;
     do
     :: n < r[i].length ->
        if
        :: n >= r[j].length || r[j].entry[n] != r[i].entry[n] -> k = 0
        :: else
        fi;
        if
        :: !k -> r[j].entry[n] = r[i].entry[n]; r[j].members[n] = r[i].members[n];
                 r[j].length = n + 1
        :: else
        fi;
        n++
     :: else -> break
     od;
     r[i].match[j] = r[i].length;
     if :: r[j].commit < r[i].commit -> r[j].commit = r[i].commit :: else fi
  :: else
  fi
}

inline commit_last() {
  find_voters(i);
  if
  :: r[i].running && r[i].role == 2 && r[i].length > r[i].commit ->
     other = 1 << i; n = 0;
     do
     :: n < IDS -> if :: n != i && r[i].match[n] >= r[i].length -> other = other | (1 << n)
                      :: else fi; n++
     :: else -> break
     od;
     majority(other);
     if
     :: k &&
#ifndef MUTANT_COMMITS_OLD_TERM
        r[i].entry[r[i].length - 1] == r[i].term &&
#endif
        true ->
        r[i].commit = r[i].length;
        n = 0;
        do
        :: n < r[i].length ->
           if
           :: n < committed_length ->
              /* Agreement with what was committed before. */
              assert(committed[n] == r[i].entry[n] &&
                     committed_members[n] == r[i].members[n])
           :: else ->
              committed[n] = r[i].entry[n]; committed_members[n] = r[i].members[n];
              committed_in[n] = r[i].term; committed_length = n + 1
           fi;
           n++
        :: else -> break
        od
     :: else
     fi
  :: else
  fi
}

/* A restart loses volatile state; the disk stays. */
inline restart() {
  if :: r[i].running && r[i].role -> r[i].role = 0; r[i].votes = 0 :: else fi
}

/* One replica's disk is emptied. It restarts under id 3; its old id is never used again. */
inline lose_disk() {
  if
  :: !disk_lost && i < 3 && r[i].running ->
     disk_lost = true;
#ifdef MUTANT_SAME_ID
     r[i].term = 0; r[i].vote = NOBODY; r[i].role = 0; r[i].length = 0; r[i].commit = 0;
#else
     r[i].running = false;
     r[i].term = 0; r[i].vote = NOBODY; r[i].role = 0; r[i].length = 0; r[i].commit = 0;
     r[3].running = true
#endif
  :: else
  fi
}

init {
  d_step {
    i = 0;
    do
    :: i < IDS -> r[i].vote = NOBODY; r[i].running = (i < 3); i++
    :: else -> break
    od;
    i = 0
  };
  do
  :: atomic {
       select(i : 0 .. 3);
       if
       :: true -> campaign()
       :: true -> lead()
       :: true -> append_one()
       :: true -> commit_last()
       :: true -> restart()
       :: true -> lose_disk()
       :: select(j : 0 .. 3);
          if
          :: true -> ask_vote()
          :: true -> replicate()
          :: true -> change_members()
          fi
       fi;
       i = 0; j = 0; n = 0; k = 0; voters = 0; count = 0; last = 0; other = 0
     }
  od
}

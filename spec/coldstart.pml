/* The cold start check of a group after all its replicas were down: it must never elect a leader while
 * another one may still answer reads.
 *
 * Ids 0, 1 and 2 are the voters.  The answer of a voter protects a leader until that voter grants
 * a vote; the duration of leases is not modelled, so that every answer protects for ever: the worst
 * case.  A restart forgets the protection, which is why a voter states its start number.  Replica 0
 * makes the calls; messages are exchanged with one voter at a time, in any order.
 * Checked: when the caller has a majority of votes by the cold start check, no other replica leads with
 * the answers of a majority.
 */

#ifndef STARTS
#define STARTS 3
#endif
#define IDS 3
#define CALLER 0

typedef Replica {
  byte start;   /* the number of its starts */
  bool fresh;   /* has neither led nor answered a leader since its start */
  bool leads;
  bool answered[IDS]; /* as a leader: the replicas that have answered it */
};

Replica r[IDS];
byte stated[IDS];  /* the start numbers stated in the current call; 0 while missing */
byte proved[IDS];  /* those of the previous call; 0 if there was none */
byte votes;
bool asked;        /* the caller asks for votes of the starts in proved */
byte i, j, count, step;

#define HAS(set, id) (((set) >> (id)) & 1)

inline forget_calls() {
  stated[1] = 0; stated[2] = 0; proved[1] = 0; proved[2] = 0; votes = 0; asked = false
}

inline restart() {
  if
  :: r[i].start < STARTS ->
     r[i].start++; r[i].fresh = true; r[i].leads = false;
     r[i].answered[0] = false; r[i].answered[1] = false; r[i].answered[2] = false;
     if
     :: i == CALLER -> forget_calls()
     :: else
     fi
  :: else
  fi
}

/* An ordinary election while no replica leads; the voters answer the leader later or never. */
inline lead() {
  if
  :: !r[0].leads && !r[1].leads && !r[2].leads -> r[i].leads = true; r[i].fresh = false;
     r[i].answered[i] = true;
     if
     :: i == CALLER -> forget_calls()
     :: else
     fi
  :: else
  fi
}

inline answer() {
  if
  :: i != j && r[i].leads -> r[i].answered[j] = true; r[j].fresh = false;
     if
     :: j == CALLER -> forget_calls()
     :: else
     fi
  :: else
  fi
}

inline state() {
  if
  :: i != CALLER && r[CALLER].fresh && stated[i] == 0 &&
#ifdef MUTANT_STATES_ALWAYS
     true ->
#else
     r[i].fresh ->
#endif
     stated[i] = r[i].start
  :: else
  fi
}

inline end_call() {
  if
#ifdef MUTANT_MAJORITY_STATES
  :: !asked && (stated[1] != 0 || stated[2] != 0) ->
#else
  :: !asked && stated[1] != 0 && stated[2] != 0 ->
#endif
#ifdef MUTANT_ONE_CALL
     asked = true; proved[1] = stated[1]; proved[2] = stated[2];
#else
     if
     :: stated[1] == proved[1] && stated[2] == proved[2] -> asked = true; votes = 1
     :: else -> proved[1] = stated[1]; proved[2] = stated[2]
     fi;
#endif
     votes = 1; stated[1] = 0; stated[2] = 0
  :: else
  fi
}

inline vote() {
  if
  :: asked && i != CALLER && r[CALLER].fresh &&
#ifndef MUTANT_VOTES_IN_ANY_START
     r[i].start == proved[i] &&
#endif
#ifndef MUTANT_VOTES_AFTER_A_LEADER
     r[i].fresh &&
#endif
     true ->
     votes = votes | (1 << i);
     count = HAS(votes, 0) + HAS(votes, 1) + HAS(votes, 2);
     if
     :: count >= 2 ->
        j = 1;
        do
        :: j < IDS ->
           assert(!(r[j].leads && r[j].answered[0] + r[j].answered[1] + r[j].answered[2] >= 2));
           j++
        :: else -> break
        od;
        forget_calls()
     :: else
     fi
  :: else
  fi
}

active proctype System() {
  atomic {
    i = 0;
    do
    :: i < IDS -> r[i].start = 1; r[i].fresh = true; i++
    :: else -> break
    od
  };
  do
  :: atomic {
       select(i : 0 .. 2); select(j : 0 .. 2);
       select(step : 0 .. 5);
       if
       :: step == 0 -> restart()
       :: step == 1 -> lead()
       :: step == 2 -> answer()
       :: step == 3 -> state()
       :: step == 4 -> end_call()
       :: step == 5 -> vote()
       fi;
       i = 0; j = 0; count = 0; step = 0
     }
  od
}

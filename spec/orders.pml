/* Orders to an engine under a lease with a fencing number.
 *
 * Time is counted in ticks. An agent sends orders only while its last confirmed renewal is less
 * than CERTAIN ticks old, and an order takes at most ORDER ticks; the control group gives the lease
 * to a successor only when it has received nothing from the holder for LEASE ticks. The engine
 * checks fencing numbers if CHECKS is 1.
 * Checked: no order takes effect after one of a later holder; with CHECKS even for an agent whose
 * clock has stopped.
 */

#ifndef CHECKS
#define CHECKS 0
#endif
#define LEASE 3
#ifdef MUTANT_LONG_CERTAINTY
#define CERTAIN 4
#else
#define CERTAIN 2 /* one tick less than LEASE, for the order itself */
#endif
#define ORDER 1
#define AGENTS 2
#define FENCES 3

byte holder = 0;   /* agent plus one, or 0 */
byte fencing = 0;
byte unheard = 0;  /* ticks since the control group last received a message of the holder */
byte number[AGENTS];
byte age[AGENTS];  /* ticks since the agent's confirmed renewal was sent */
byte flight[AGENTS]; /* 0: no order; else ticks left plus one */
byte carried[AGENTS];
byte newest = 0;   /* the newest fencing number that took effect */
byte engine_fencing = 0;

proctype Agent(byte id) {
  do
  /* Takes a free lease. */
  :: atomic { holder == 0 && fencing < FENCES ->
       fencing++; holder = id + 1; number[id] = fencing; age[id] = 0; unheard = 0 }
  /* Renews it; the reply arrives at once or never. */
  :: atomic { holder == id + 1 && number[id] == fencing ->
       unheard = 0; if :: age[id] = 0 :: skip fi }
  /* Sends an order while it certainly holds the lease; an order that times out is abandoned. */
  :: atomic { number[id] && flight[id] == 0 &&
#if CHECKS
       true /* even if its clock has stopped */
#else
       age[id] < CERTAIN
#endif
       -> flight[id] = ORDER + 1; carried[id] = number[id] }
  :: atomic { flight[id] ->
       flight[id] = 0;
#if CHECKS && !defined(MUTANT_ENGINE_FORGETS)
       if
       :: carried[id] >= engine_fencing ->
          engine_fencing = carried[id];
          assert(carried[id] >= newest); newest = carried[id]
       :: else
       fi
#else
       assert(carried[id] >= newest); newest = carried[id]
#endif
     }
  od
}

proctype Time() {
  byte a;
  do
  :: atomic {
       a = 0;
       do
       :: a < AGENTS ->
          if :: age[a] < 7 -> age[a]++ :: else fi;
          if
          :: flight[a] > 1 -> flight[a]--
#if !CHECKS
          :: flight[a] == 1 -> flight[a] = 0 /* timed out: the connection is closed */
#endif
          :: else
          fi;
          a++
       :: else -> break
       od;
       if :: unheard < 7 -> unheard++ :: else fi;
       a = 0 }
  :: atomic { holder &&
#ifdef MUTANT_HASTY_SUCCESSOR
       unheard >= 1
#else
       unheard >= LEASE
#endif
       -> holder = 0 }
  od
}

init { atomic { run Agent(0); run Agent(1); run Time() } }

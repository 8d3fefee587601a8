/* The work ledger: one request that must not be repeated, one batch item, two workers.
 *
 * The replicated ledger is modelled as one state, and each command as one step. Commands, their
 * replies and calls to the backend server may be lost, delayed and duplicated; a worker may stop at
 * any time, and its session may be ended while it still runs.
 * Checked: the request runs at most once, a request that was reported as not run never runs, a
 * committed answer never changes, a cancelled item is not leased again.
 */

mtype = { none, accepted, started, completed, not_run, unknown };
mtype = { waiting, leased, item_done, item_failed, item_cancelled };

#define WORKERS 2
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

/* The ledger. */
mtype request = none;
byte claim = 0;        /* the worker that may run it, plus one */
byte answer = 0;       /* the worker whose answer was committed, plus one */
mtype item = waiting;
byte item_holder = 0;
byte attempt = 0;
byte item_answer = 0;
byte first_answer = 0; /* the answer that a late one would replace */
byte item_ends = 0;
bool cancelled = false;

/* The backend server. */
byte runs = 0;
bool told_not_run = false;

proctype Worker(byte id) {
  byte my_attempt;
  bool may_run;
  do
  /* The request: claim, run, commit. Each step may fail to happen. */
  :: atomic { request == accepted -> request = started; claim = id + 1; may_run = true }
#ifdef MUTANT_RUNS_UNCLAIMED
  :: atomic { request == started && !may_run && claim != id + 1 -> may_run = true }
#endif
  :: atomic { may_run -> may_run = false; runs++; assert(runs <= 1); assert(!told_not_run) };
     if
     :: atomic { request == started ->
          assert(answer == 0); request = completed; answer = id + 1 }
     :: atomic { request == unknown -> request = completed; answer = id + 1 }
     :: skip /* the worker stopped, or its commit was lost */
     fi
  /* The claim's owner has sent nothing, so it can report that the request was not run. */
  :: atomic { may_run && request == started && claim == id + 1 ->
       may_run = false; request = not_run; told_not_run = true }
  /* The worker stops before it has run the request. */
  :: atomic { may_run -> may_run = false }
  /* The item: lease, run, commit. */
  :: atomic { item == waiting && attempt < ATTEMPTS ->
       assert(!cancelled); item = leased; item_holder = id; attempt++; my_attempt = attempt };
     if
     :: atomic { item == waiting || item == leased ->
#ifdef MUTANT_COUNTS_TWICE
          item_ends++;
#endif
          item_ends++; assert(item_ends <= 1); item = item_done; item_answer = id + 1 }
     /* A late answer for an item that has ended is dropped. */
     :: atomic { item == item_done ->
#ifdef MUTANT_LAST_ANSWER_WINS
          first_answer = (first_answer -> first_answer : item_answer); item_answer = id + 1;
#endif
          assert(first_answer == 0 || item_answer == first_answer) }
     :: atomic { item == leased && attempt == my_attempt ->
          if
          :: attempt < ATTEMPTS -> item = waiting
          :: else -> item_ends++; assert(item_ends <= 1); item = item_failed
          fi }
     :: skip
     fi
  od
}

/* Ends sessions at any time, also of workers that still run. */
proctype Sweeper() {
  do
  :: atomic { request == started ->
#ifdef MUTANT_RETRIES_STARTED
       request = accepted
#else
       request = unknown
#endif
     }
  :: atomic { item == leased ->
       if
       :: attempt < ATTEMPTS -> item = waiting
       :: else -> item_ends++; assert(item_ends <= 1); item = item_failed
       fi }
  od
}

/* The caller and its entry. */
proctype Caller() {
  do
  :: atomic { request == none -> request = accepted }
  /* A retry attaches to the request; one that was not run is accepted again. */
  :: atomic { request == not_run -> request = accepted; told_not_run = false }
  /* The entry times out: it refuses only a request that was never started. */
  :: atomic { request == accepted -> request = not_run; told_not_run = true }
#ifdef MUTANT_REFUSES_STARTED
  :: atomic { request == started -> request = not_run; told_not_run = true }
#endif
  :: atomic { !cancelled ->
       cancelled = true;
       if
       :: item == waiting || item == leased -> item = item_cancelled; item_ends++
       :: else
       fi;
       assert(item_ends <= 1) }
#ifdef MUTANT_CANCEL_FORGETS
  :: atomic { cancelled && item == item_cancelled -> item = waiting }
#endif
  od
}

init {
  atomic { run Worker(0); run Worker(1); run Sweeper(); run Caller() }
}

/* Applying the configuration: two operators send changes concurrently, which may expect the same
 * revision, and resend them; members install the revisions.
 *
 * Checked: each revision is made by one change, a resent change gets its first answer and is
 * applied once, a member never returns to an older revision, and a revision is reported as in
 * force only when every member has it.
 */

#define MEMBERS 2
#define REVISIONS 3
#define CHANGES 4 /* change ids 1 .. 4 */

byte revision = 0;
byte maker[REVISIONS + 1];     /* the change that made each revision */
byte applied_as[CHANGES + 1];  /* the revision that each change made, or 0 */
byte in_force[MEMBERS];

proctype Operator(byte first) {
  byte change = first;
  byte expected;
  byte told;
  do
  :: change <= first + 1 ->
     atomic { expected = revision; told = 0 };
     do
     /* Sends the change, and resends it any number of times because its answer was lost. */
     :: atomic {
          if
#ifndef MUTANT_FORGETS_CHANGES
          :: applied_as[change] ->
             assert(told == 0 || told == applied_as[change]); told = applied_as[change]
          :: applied_as[change] == 0 &&
#else
          ::
#endif
#ifndef MUTANT_NO_COMPARE
             expected == revision &&
#endif
             revision < REVISIONS ->
             revision++;
             assert(maker[revision] == 0 && applied_as[change] == 0);
#ifdef MUTANT_NO_COMPARE
             assert(expected + 1 == revision);
#endif
             maker[revision] = change; applied_as[change] = revision; told = revision
          :: else ->
             /* A conflict; the reply names the change that won. Never for an applied change. */
             assert(applied_as[change] == 0); break
          fi }
     :: break
     od;
     change++
  :: else -> break
  od
}

proctype Member(byte id) {
  byte seen;
  do
  /* A reply of the control group's leader, which may arrive after later changes. */
  :: atomic { seen = revision };
     atomic {
       if
#ifdef MUTANT_INSTALLS_OLDER
       :: true -> assert(seen >= in_force[id]); in_force[id] = seen
#else
       :: seen > in_force[id] -> in_force[id] = seen
       :: else
#endif
       fi }
#ifdef MUTANT_INSTALLS_OLDER
  :: atomic { revision > 0 -> seen = revision - 1 };
     atomic { assert(seen >= in_force[id]); in_force[id] = seen }
#endif
  od
}

proctype Status() {
  byte least;
  do
  :: atomic {
       least = (in_force[0] < in_force[1] -> in_force[0] : in_force[1]);
#ifdef MUTANT_ASKS_ONE
       least = in_force[0];
#endif
       if
       :: least == revision -> assert(in_force[0] == revision && in_force[1] == revision)
       :: else
       fi }
  od
}

init {
  atomic { run Operator(1); run Operator(3); run Member(0); run Member(1); run Status() }
}

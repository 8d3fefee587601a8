"""The replicated state machine: requests, batch items, configuration changes and leases."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.group import run_machine
from verbenashore import control, jobs, machine, requests, transfer
from verbenashore.itemjobs import EndItemJob, ItemSpec, SubmitItemJob
from verbenashore.machine import GroupState
from verbenashore.types import GroupId, ItemState, JobState, RequestState

HOLDERS = st.sampled_from(["a", "b", "c"])
KEYS = st.sampled_from(["k1", "k2"])
ITEMS = 6


class Ledger:
    """The state of one group, with short forms of its commands."""

    def __init__(self):
        self.state = GroupState(GroupId(1))
        self.index = 0
        self.time = 0.0
        self.id_count = 0

    def do(self, command):
        """Commits a command and returns its result."""
        self.index += 1
        data = machine.encode(command, self.time)
        return machine.apply(self.state, self.index, data)

    def name(self, prefix):
        """Returns a new id."""
        self.id_count += 1
        return f"{prefix}{self.id_count}"

    def accept(self, key="k1", holder="a", digest="d", repeatable=True, record=None):
        """Accepts a request."""
        record = record or self.name("r")
        return self.do(requests.AcceptRequest(record, "w", key, digest, holder, repeatable, 100.0))

    def create(self, key="k1", holder="a", digest="d", window=50.0):
        """Announces a job without its items."""
        return self.do(
            jobs.CreateJob(
                self.name("j"), "w", key, digest, holder, "/v1", "f", window, "", {}, 0, 100.0
            )
        )

    def start_job(self, key="k1", count=ITEMS, window=50.0):
        """Creates a job with all its items, so that it runs."""
        job = self.create(key, window=window).job
        items = [jobs.NewItem(f"i{n}", "m", b"{}", 1) for n in range(count)]
        self.do(jobs.AddItems(job, 0, items))
        self.do(jobs.SealJob(job, count))
        return job

    def lease(self, holder="a", count=2, request=None):
        """Leases items."""
        return self.do(jobs.LeaseItems(request or self.name("l"), holder, ["m"], count)).items

    def result(self, item, *, status=200, **options):
        """Returns the result of a leased item."""
        body = f"{item.position}".encode()
        return jobs.ItemResult(item.job, item.position, item.attempt, status, body, **options)

    def complete(self, item, holder="a", **options):
        """Commits a result."""
        return self.do(jobs.CompleteItems(holder, [self.result(item, **options)]))


# Hypothesis derives the examples from the source text of this class, so every edit of it, also of a
# name or a comment, changes them. Run lab/mutants.py after an edit: with some examples, the fault
# "the last answer wins" goes unnoticed.
class AnyCommands(RuleBasedStateMachine):
    """Commands in any order, doubled and late, from holders whose sessions may have ended."""

    def __init__(self):
        super().__init__()
        self.ledger = Ledger()
        self.runs = {}
        self.claims = []
        self.answers = {}
        self.refused = {}
        self.leased = []
        self.outcome = {}
        self.sealed = {}

    def records(self):
        return self.ledger.state.requests.by_id

    @rule(key=KEYS, holder=HOLDERS, repeatable=st.booleans())
    def accept(self, key, holder, repeatable):
        self.ledger.accept(key + str(repeatable), holder, repeatable=repeatable)

    @rule(holder=HOLDERS, choice=st.integers(0, 9), twice=st.booleans())
    def claim_a_run(self, holder, choice, twice):
        once = [r for r in self.records().values() if not r.repeatable]
        if once:
            record = once[choice % len(once)]
            command = requests.StartRequest(record.id, holder, self.ledger.name("c"))
            mine = [self.ledger.do(command).mine for _ in range(1 + twice)]
            assert len(set(mine)) == 1, "a resent claim got another answer"
            if mine[0]:
                self.claims.append(command)

    @rule(choice=st.integers(0, 9), answered=st.booleans())
    def run_what_was_claimed(self, choice, answered):
        if not self.claims:
            return
        command = self.claims.pop(choice % len(self.claims))
        attempt = self.records()[command.record].attempt
        run = (command.record, attempt)
        self.runs[run] = self.runs.get(run, 0) + 1
        assert self.runs[run] == 1, "ran twice"
        assert run not in self.refused, "ran after a refusal"
        if answered:
            body = command.claim.encode()
            self.ledger.do(requests.CompleteRequest(command.record, 200, "t", body))

    @rule(choice=st.integers(0, 9))
    def give_up(self, choice):
        ids = list(self.records())
        if ids:
            record = self.records()[ids[choice % len(ids)]]
            view = self.ledger.do(requests.AbandonRequest(record.id))
            if view.state is RequestState.NOT_RUN and not record.repeatable:
                self.refused[(record.id, record.attempt)] = True

    @rule(choice=st.integers(0, 9))
    def prove_that_a_claim_was_not_sent(self, choice):
        if self.claims:
            command = self.claims.pop(choice % len(self.claims))
            self.ledger.do(requests.AbandonRequest(command.record, command.claim))

    @rule(choice=st.integers(0, 9))
    def complete_a_repeatable_request(self, choice):
        ids = [r.id for r in self.records().values() if r.repeatable]
        if ids:
            command = requests.CompleteRequest(
                ids[choice % len(ids)], 200, "t", self.ledger.name("a").encode()
            )
            self.ledger.do(command)

    @rule(holder=HOLDERS)
    def a_session_ends(self, holder):
        self.ledger.do(machine.ExpireHolder(holder))

    @rule(key=KEYS)
    def submit_a_job(self, key):
        view = self.ledger.create(key)
        if view.fresh:
            items = [jobs.NewItem(f"i{n}", "m", b"{}", 1) for n in range(ITEMS)]
            for _ in range(2):
                self.ledger.do(jobs.AddItems(view.job, 0, items))
            self.ledger.do(jobs.SealJob(view.job, ITEMS))

    @rule(holder=HOLDERS, count=st.integers(1, 4), twice=st.booleans())
    def lease(self, holder, count, twice):
        request = self.ledger.name("l")
        first = self.ledger.lease(holder, count, request)
        if twice:
            assert self.ledger.lease(holder, count, request) == first
        self.leased += [(holder, item) for item in first]

    @rule(choice=st.integers(0, 99), how=st.sampled_from(["good", "bad", "retry", "returned"]))
    def an_item_ends(self, choice, how):
        if self.leased:
            holder, item = self.leased[choice % len(self.leased)]
            options = {"good": {}, "bad": {"status": 400}}.get(how, {how: True})
            self.ledger.complete(item, holder, **options)

    @rule(choice=st.integers(0, 9))
    def cancel(self, choice):
        ids = list(self.ledger.state.jobs.job_by_id)
        if ids:
            self.ledger.do(jobs.CancelJob(ids[choice % len(ids)], "w"))

    @rule(seconds=st.sampled_from([1.0, 30.0]))
    def time_passes(self, seconds):
        self.ledger.time += seconds
        self.ledger.do(machine.Advance())

    @rule()
    def a_snapshot_is_restored(self):
        state = self.ledger.state
        self.ledger.state = machine.restore(machine.snapshot(state), state.group)
        assert self.ledger.state == state

    @invariant()
    def a_committed_answer_never_changes(self):
        for record in self.records().values():
            if record.answer is not None:
                known = self.answers.setdefault((record.id, record.attempt), record.answer)
                assert record.answer == known

    @invariant()
    def an_ended_item_never_changes(self):
        for job in self.ledger.state.jobs.job_by_id.values():
            for position, item in enumerate(job.items):
                key = (job.announced.job, position)
                assert item.attempt <= jobs.MAX_ATTEMPTS
                if item.state not in (ItemState.WAITING, ItemState.LEASED):
                    now = (item.state, item.status, item.result)
                    assert self.outcome.setdefault(key, now) == now

    @invariant()
    def counts_agree_with_items(self):
        for job in self.ledger.state.jobs.job_by_id.values():
            states = [item.state for item in job.items]
            assert job.completed == states.count(ItemState.COMPLETED)
            assert job.failed == states.count(ItemState.FAILED)
            waiting = sorted(p for queue in job.waiting_by_model.values() for p in queue)
            if job.state is JobState.RUNNING:
                assert waiting == [p for p, s in enumerate(states) if s is ItemState.WAITING]
            elif job.state is not JobState.LOADING:
                assert not waiting
                assert ItemState.LEASED not in states and ItemState.WAITING not in states


def test_any_order_of_commands_keeps_the_invariants():
    run_machine(AnyCommands, examples=60, steps=60)


def test_a_resent_request_attaches_and_another_body_is_a_conflict():
    ledger = Ledger()
    first = ledger.accept(key="k")
    assert first.mine
    again = ledger.accept(key="k", holder="b")
    assert (again.record, again.mine, again.conflict) == (first.record, False, False)
    assert ledger.accept(key="k", digest="other").conflict


def test_a_resent_acceptance_still_belongs_to_its_sender():
    ledger = Ledger()
    assert ledger.accept(key="k", record="r").mine
    assert ledger.accept(key="k", record="r").mine


def test_a_resent_takeover_still_belongs_to_its_sender():
    ledger = Ledger()
    ledger.accept(key="k", holder="a")
    ledger.do(machine.ExpireHolder("a"))
    assert ledger.accept(key="k", holder="b", record="t").mine
    assert ledger.accept(key="k", holder="b", record="t").mine


def test_a_lost_holder_makes_a_started_request_unknown_until_a_late_answer():
    ledger = Ledger()
    record = ledger.accept(repeatable=False).record
    ledger.do(requests.StartRequest(record, "a", "c"))
    ledger.do(machine.ExpireHolder("a"))
    assert ledger.accept(repeatable=False).state is RequestState.OUTCOME_UNKNOWN
    ledger.do(requests.CompleteRequest(record, 201, "t", b"late"))
    assert ledger.accept(repeatable=False).answer.body == b"late"


def test_a_request_without_a_holder_is_deleted_after_its_retention():
    ledger = Ledger()
    record = ledger.accept().record
    ledger.do(machine.ExpireHolder("a"))
    ledger.time = 200.0
    ledger.do(machine.Advance())
    assert record not in ledger.state.requests.by_id
    assert not ledger.state.requests.open_ids


def test_a_job_with_missing_items_is_neither_accepted_nor_leased():
    ledger = Ledger()
    job = ledger.create().job
    ledger.do(jobs.AddItems(job, 0, [jobs.NewItem("i", "m", b"{}", 1)]))
    assert ledger.do(jobs.SealJob(job, 2)) is None
    assert ledger.lease() == []
    ledger.do(machine.ExpireHolder("a"))
    assert not ledger.state.jobs.job_by_id
    assert ledger.create().fresh


def test_the_job_with_the_earliest_deadline_is_leased_first():
    ledger = Ledger()
    ledger.start_job("late", window=90.0)
    early = ledger.start_job("early", window=10.0)
    assert {item.job for item in ledger.lease(count=ITEMS)} == {early}


def test_an_item_that_loses_every_worker_fails_after_max_attempts():
    ledger = Ledger()
    job = ledger.start_job(count=1)
    for _ in range(jobs.MAX_ATTEMPTS):
        assert len(ledger.lease("a")) == 1
        ledger.do(machine.ExpireHolder("a"))
    assert ledger.lease("a") == []
    assert ledger.state.jobs.job_by_id[job].state is JobState.COMPLETED
    assert ledger.state.jobs.job_by_id[job].failed == 1


def test_a_returned_item_does_not_use_up_an_attempt():
    ledger = Ledger()
    ledger.start_job(count=1)
    for _ in range(3 * jobs.MAX_ATTEMPTS):
        (item,) = ledger.lease()
        ledger.complete(item, returned=True)
    assert ledger.lease()[0].attempt == 1


def test_a_deadline_expires_open_items_and_keeps_completed_ones():
    ledger = Ledger()
    job = ledger.start_job(window=10.0)
    ledger.complete(ledger.lease(count=1)[0])
    ledger.time = 11.0
    ledger.do(machine.Advance())
    expired = ledger.state.jobs.job_by_id[job]
    assert expired.state is JobState.EXPIRED
    assert [item.state for item in expired.items].count(ItemState.COMPLETED) == 1
    assert [item.state for item in expired.items].count(ItemState.EXPIRED) == ITEMS - 1


def apply_change(ledger, change, expected, content):
    """Applies a change of configuration."""
    return ledger.do(control.ApplyChange(change, expected, "me", content, content, []))


def test_of_two_changes_to_the_same_revision_one_is_applied_and_the_other_gets_the_winner():
    ledger = Ledger()
    assert apply_change(ledger, "x", 0, "one").applied
    lost = apply_change(ledger, "y", 0, "two")
    assert (lost.applied, lost.revision, lost.winner) == (False, 1, "x")


def test_a_resent_change_gets_its_first_result_even_after_later_changes():
    ledger = Ledger()
    first = apply_change(ledger, "x", 0, "one")
    apply_change(ledger, "y", 1, "two")
    assert apply_change(ledger, "x", 0, "one") == first
    assert control.current_change(ledger.state.control).text == "two"
    assert apply_change(ledger, "x", 0, "other").mismatched


def test_a_backend_server_has_one_holder_and_rising_fencing_numbers():
    ledger = Ledger()
    first = ledger.do(control.LeaseBackend("b", "a1"))
    assert ledger.do(control.LeaseBackend("b", "a2")).holder == "a1"
    ledger.do(machine.ExpireHolder("a1"))
    second = ledger.do(control.LeaseBackend("b", "a2"))
    assert second.holder == "a2" and second.fencing > first.fencing


def test_load_permits_are_limited_and_end_with_the_session_of_their_holder():
    ledger = Ledger()
    granted = [ledger.do(control.LoadPermit(name, True, 2)).ok for name in "abc"]
    assert granted == [True, True, False]
    ledger.do(machine.ExpireHolder("a"))
    assert ledger.do(control.LoadPermit("c", True, 2)).ok


def test_the_source_of_a_version_is_stored_but_not_sent_to_members():
    ledger = Ledger()
    source = transfer.compress(b"as it was sent")
    ledger.do(control.ApplyVersion(7, "me", transfer.compress(b"text"), source))
    change = control.current_change(ledger.state.control)
    assert (change.text, transfer.decompress(change.source)) == ("text", b"as it was sent")
    fetched = control.decode_change(control.encode_change(change))
    assert (fetched.revision, fetched.text, fetched.source) == (7, "text", b"")


def test_commands_and_snapshots_without_workspaces_still_load():
    """Guards logs and snapshots that an earlier build has written."""
    state = machine.GroupState(GroupId(0))
    specs = [ItemSpec("i", "/b/x", [], b"", 10)]
    submit = SubmitItemJob("j", "r", "h", specs, 18.0, 0.0, 3, 40, 60.0)
    stamped = msgspec.msgpack.decode(machine.encode(submit, 1.0))
    assert stamped[1].pop() is None
    machine.apply(state, 1, msgspec.msgpack.encode(stamped))
    earlier = msgspec.msgpack.decode(machine.snapshot(state))
    del earlier["item_jobs"]["waiting_by_workspace"]
    del earlier["item_jobs"]["job_by_id"]["j"]["workspace"]
    restored = machine.restore(msgspec.msgpack.encode(earlier), GroupId(0))
    assert restored.item_jobs == state.item_jobs
    assert restored.item_jobs.job_by_id["j"].is_visible_to("a")
    end = msgspec.msgpack.decode(machine.encode(EndItemJob("j"), 2.0))
    assert end[1].pop() is None
    assert machine.apply(restored, 2, msgspec.msgpack.encode(end)).ok

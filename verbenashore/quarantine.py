"""Finds the parts of prompts that crash backend servers, and holds calls with them; without I/O.

A crash breaks all calls that run on the server, of which at most one is the cause.  Suspects are
the parts of the prompts whose answers had not begun.  An answer that begins clears every part of
its prompt, so parts that many calls share are cleared all the time, and what remains after a few
crashes is the part that no answer has ever begun with.  Members share what they have seen, since
the calls with one part arrive at all of them.

All times are Unix times in seconds, because members compare them.
"""

from collections.abc import Callable

import msgspec

from verbenashore import trials
from verbenashore.types import BackendName, MemberName, Prompt, PromptPart, UnixClock

#: Crashes of several servers within this time in seconds count as one: servers that share a cause,
#: such as a rack, fail together, whatever they are asked.
INCIDENT_SECONDS = 0.1
#: Seconds within which crashes of one server, as several members saw them, are the same.
SAME_CRASH_SECONDS = 0.2
#: Least time in seconds between two crashes of one prompt that count separately; a call that comes
#: to a server of the same rack only meets the same incident.
MIN_RUN_SECONDS = 0.02
#: Incidents, and different prompts in them, after which a part is held.
MIN_INCIDENTS = 3
MIN_PROMPTS = 2
#: The same for a part that answers have begun with before.
MIN_INCIDENTS_IF_KNOWN = 5
MIN_PROMPTS_IF_KNOWN = 3
#: Seconds for which a part is held at first.  After that, one more crash holds it again for twice
#: as long, unless an answer has begun in between.
HOLD_SECONDS = 60.0
MAX_HOLD_SECONDS = 3600.0
#: Seconds between two trials of a part at one member after its hold, until an answer clears it.
TRIAL_SECONDS = 2.0
#: Seconds after the end of a hold for which the next one of the same part is longer.
HOLD_MEMORY_SECONDS = 600.0
#: Seconds for which a crash counts.
CRASH_SECONDS = 60.0
#: Most crashed calls, and parts that are or were held, that members tell each other.
MAX_CRASHES = 32
MAX_HOLDS = 32
#: Most parts that a process remembers to have begun answers with.
MAX_KNOWN_PARTS = 4096
#: Most parts of one prompt that are examined; those at its end differ most between prompts.
MAX_PARTS = 16


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A call whose answer had not begun when its server crashed.

    :param prompt: the parts of its prompt in order; the last one is the call's own.
    """

    server: BackendName
    prompt: Prompt
    at: float


class Hold(msgspec.Struct, frozen=True, array_like=True):
    """Calls with a part are refused.

    :param number: how many holds of the part there were, this one included.
    :param is_prompt: for earlier builds, which also hold the last part of a prompt for itself.
    """

    at: float
    until: float
    number: int
    is_prompt: bool = False


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """What members tell each other.

    :param sound_at_by_part: when an answer with a suspected part was last known to begin.
    :param known_parts: suspected parts with which an answer had begun at some time before.
    """

    crashes: list[Crash] = []
    hold_by_part: dict[PromptPart, Hold] = {}
    sound_at_by_part: dict[PromptPart, float] = {}
    known_parts: list[PromptPart] = []


NO_EVIDENCE = Evidence()


class Quarantine:
    """The crashes and the held parts that one process knows of.

    :param member: decides who makes a trial.
    :param on_change: called with a part and its hold when it is held, and with None in place of the
        hold when an answer has cleared it.
    """

    def __init__(
        self,
        clock: UnixClock,
        member: MemberName,
        on_change: Callable[[PromptPart, Hold | None], None] = lambda _part, _hold: None,
    ) -> None:
        self._clock = clock
        self._member = member
        self._on_change = on_change
        self._crashes: dict[Crash, None] = {}
        self._hold_by_part: dict[PromptPart, Hold] = {}
        self._sound_at_by_part: dict[PromptPart, float] = {}
        self._tried_at_by_part: dict[PromptPart, float] = {}
        self._suspected_at_by_part: dict[PromptPart, float] = {}
        # In the order of the latest answers.
        self._known_parts: dict[PromptPart, None] = {}

    def record_crash(self, server: BackendName, prompt: Prompt) -> None:
        """Records a call whose server crashed before it began to answer."""
        if prompt:
            crash = Crash(server, prompt[-MAX_PARTS:], self._clock())
            if self._is_new_crash(crash):
                self._add_crash(crash)
                self._judge()

    def record_answer(self, prompt: Prompt) -> bool:
        """Records that an answer has begun; returns whether that is news for other members."""
        is_news = False
        for part in prompt:
            self._remember(part)
            suspected_at = self._suspected_at_by_part.get(part)
            if suspected_at is not None and not self._is_sound(part, suspected_at):
                # Members' clocks differ, but the crash was known before the answer began.
                self._clear(part, max(self._clock(), suspected_at))
                is_news = True
        return is_news

    def merge(self, evidence: Evidence) -> bool:
        """Adds what another member knows; returns whether any of it is news."""
        if evidence == NO_EVIDENCE:
            return False
        crashes = [crash for crash in evidence.crashes if self._is_new_crash(crash)]
        holds = {
            part: hold for part, hold in evidence.hold_by_part.items() if self._is_newer(part, hold)
        }
        for crash in crashes:
            self._add_crash(crash)
        sound_at_by_part = {
            part: sound_at
            for part, sound_at in evidence.sound_at_by_part.items()
            if (part in self._suspected_at_by_part or part in holds)
            and not self._is_sound(part, sound_at)
        }
        for part, sound_at in sound_at_by_part.items():
            self._clear(part, sound_at)
        for part, hold in holds.items():
            self._install_hold(part, hold)
        known_parts = [
            part
            for part in evidence.known_parts
            if part in self._suspected_at_by_part and part not in self._known_parts
        ]
        for part in known_parts:
            self._remember(part)
        if not (crashes or sound_at_by_part or holds or known_parts):
            return False
        self._judge()
        return True

    def evidence(self) -> Evidence:
        """Returns what this process knows, for other members."""
        self._expire()
        return Evidence(
            sorted(self._crashes, key=lambda crash: (crash.at, crash.server, crash.prompt)),
            dict(self._hold_by_part),
            dict(self._sound_at_by_part),
            sorted(self._suspected_at_by_part.keys() & self._known_parts.keys()),
        )

    def held_part(self, prompt: Prompt) -> tuple[PromptPart, float] | None:
        """Returns the first held part of a prompt, and the seconds until it may be tried.

        After its hold a part is tried by one call at a time, at first at few members.
        """
        if not self._hold_by_part:
            return None
        now = self._clock()
        return next(
            (
                (part, max(self._next_trial_at(part) - now, TRIAL_SECONDS))
                for part in prompt
                if self._has_former_hold(part) and not self._may_try(part, now)
            ),
            None,
        )

    def record_start(self, prompt: Prompt) -> None:
        """Records that a call is sent to a server; it is the trial of its parts that were held."""
        if self._hold_by_part:
            now = self._clock()
            self._tried_at_by_part.update(
                (part, now) for part in prompt if self._has_former_hold(part)
            )

    def _may_try(self, part: PromptPart, now: float) -> bool:
        if now < self._next_trial_at(part):
            return False
        held_until = self._hold_by_part[part].until
        return trials.may_try(self._member, part.encode(), held_until, now)

    def _next_trial_at(self, part: PromptPart) -> float:
        next_trial_at = self._tried_at_by_part.get(part, float("-inf")) + TRIAL_SECONDS
        return max(self._hold_by_part[part].until, next_trial_at)

    def is_suspected(self, prompt: Prompt) -> bool:
        """Returns whether a prompt shares an unknown part with another one that met a crash.

        A call with such a prompt whose server crashed must not run on a second server.
        """
        unknown_parts = set(prompt[:-1]) - self._known_parts.keys()
        return any(
            crash.prompt != prompt[-MAX_PARTS:]
            and any(
                part in unknown_parts and not self._is_sound(part, crash.at)
                for part in crash.prompt[:-1]
            )
            for crash in self._crashes
        )

    @property
    def held_parts(self) -> list[PromptPart]:
        """The parts that are held now."""
        now = self._clock()
        return [part for part in self._hold_by_part if self._is_held(part, now)]

    def _is_held(self, part: PromptPart, now: float) -> bool:
        return self._has_former_hold(part) and now < self._hold_by_part[part].until

    def _is_sound(self, part: PromptPart, at: float) -> bool:
        """Returns whether an answer has begun with a part at or after the given time."""
        return self._sound_at_by_part.get(part, float("-inf")) >= at

    def _is_new_crash(self, crash: Crash) -> bool:
        if crash in self._crashes or crash.at < self._clock() - CRASH_SECONDS:
            return False
        if not crash.prompt:
            return False
        is_full = len(self._crashes) >= MAX_CRASHES
        return not is_full or crash.at > min(known.at for known in self._crashes)

    def _add_crash(self, crash: Crash) -> None:
        self._crashes[crash] = None
        for part in crash.prompt:
            self._suspect(part, crash.at)
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[min(self._crashes, key=lambda known: known.at)]

    def _is_newer(self, part: PromptPart, hold: Hold) -> bool:
        known = self._hold_by_part.get(part)
        if known is not None:
            return (hold.at, hold.until) > (known.at, known.until)
        if hold.until < self._clock() - HOLD_MEMORY_SECONDS:
            return False
        is_full = len(self._hold_by_part) >= MAX_HOLDS
        return not is_full or hold.until > min(k.until for k in self._hold_by_part.values())

    def _remember(self, part: PromptPart) -> None:
        self._known_parts.pop(part, None)
        self._known_parts[part] = None
        if len(self._known_parts) > MAX_KNOWN_PARTS:
            del self._known_parts[next(iter(self._known_parts))]

    def _suspect(self, part: PromptPart, at: float) -> None:
        self._suspected_at_by_part[part] = max(at, self._suspected_at_by_part.get(part, at))

    def _clear(self, part: PromptPart, at: float) -> None:
        hold = self._hold_by_part.get(part)
        was_held = hold is not None and self._is_held(part, self._clock())
        self._sound_at_by_part[part] = at
        if was_held and hold is not None and at >= hold.at:
            self._on_change(part, None)

    def _install_hold(self, part: PromptPart, hold: Hold) -> None:
        was_held = part in self._hold_by_part and self._is_held(part, self._clock())
        self._hold_by_part[part] = hold
        self._suspect(part, hold.at)
        if not was_held and self._is_held(part, self._clock()):
            self._on_change(part, hold)
        if len(self._hold_by_part) > MAX_HOLDS:
            others = self._hold_by_part.keys() - {part}
            del self._hold_by_part[min(others, key=lambda other: self._hold_by_part[other].until)]

    def _judge(self) -> None:
        """Holds the parts that explain the crashes.

        The part that explains most comes first, and the crashes that it explains don't count
        against the other parts of their prompts.
        """
        while (part := self._worst_part()) is not None:
            self._hold(part)

    def _hold(self, part: PromptPart) -> None:
        now = self._clock()
        previous = self._hold_by_part.get(part)
        number = previous.number + 1 if previous is not None else 1
        duration = min(MAX_HOLD_SECONDS, HOLD_SECONDS * 2.0 ** min(number - 1, 16))
        at = max(now, self._suspected_at_by_part.get(part, now))
        self._install_hold(part, Hold(at, at + duration, number))

    def _worst_part(self) -> PromptPart | None:
        """Returns the part to hold next, or None."""
        by_part: dict[PromptPart, list[Crash]] = {}
        for crash in self._unexplained():
            for part in crash.prompt[:-1]:
                by_part.setdefault(part, []).append(crash)
        ranks = []
        for part, crashes in by_part.items():
            relevant = self._relevant(part, crashes)
            prompts = {crash.prompt for crash in relevant}
            if _incidents(relevant) >= self._required_incidents(part) and (
                len(prompts) >= self._required_prompts(part)
            ):
                # Of parts that are always sent together, the last one is shared least.
                position = sum(prompt.index(part) for prompt in prompts) / len(prompts)
                is_known = part in self._known_parts
                ranks.append((not is_known, len(prompts), len(relevant), position, part))
        return max(ranks)[-1] if ranks else None

    def _has_former_hold(self, part: PromptPart) -> bool:
        """Returns whether a part was held and no answer with it has begun since."""
        hold = self._hold_by_part.get(part)
        return hold is not None and not self._is_sound(part, hold.at)

    def _required_incidents(self, part: PromptPart) -> int:
        if self._has_former_hold(part):
            return 1
        return MIN_INCIDENTS_IF_KNOWN if part in self._known_parts else MIN_INCIDENTS

    def _required_prompts(self, part: PromptPart) -> int:
        if self._has_former_hold(part):
            return 1
        return MIN_PROMPTS_IF_KNOWN if part in self._known_parts else MIN_PROMPTS

    def _relevant(self, part: PromptPart, crashes: list[Crash]) -> list[Crash]:
        """Returns the crashes since an answer with the part began, and since its last hold."""
        after = float("-inf")
        if self._has_former_hold(part):
            after = self._hold_by_part[part].until
        return [
            crash for crash in crashes if crash.at > after and not self._is_sound(part, crash.at)
        ]

    def _unexplained(self) -> list[Crash]:
        """Returns the crashes of prompts without a part that was held then or has been since."""
        return [
            crash
            for crash in self._crashes
            if not any(self._explains(part, crash.at) for part in crash.prompt[:-1])
        ]

    def _explains(self, part: PromptPart, at: float) -> bool:
        return self._has_former_hold(part) and at <= self._hold_by_part[part].until

    def _expire(self) -> None:
        """Forgets old crashes and holds, and when parts were sound that neither of them names."""
        now = self._clock()
        expired = [crash for crash in self._crashes if crash.at < now - CRASH_SECONDS]
        old_holds = [
            part
            for part, hold in self._hold_by_part.items()
            if hold.until < now - HOLD_MEMORY_SECONDS
        ]
        for crash in expired:
            del self._crashes[crash]
        for part in old_holds:
            del self._hold_by_part[part]
        if not self._sound_at_by_part and not self._suspected_at_by_part:
            return
        named = self._hold_by_part.keys() | {
            part for crash in self._crashes for part in crash.prompt
        }
        for by_part in (
            self._sound_at_by_part,
            self._suspected_at_by_part,
            self._tried_at_by_part,
        ):
            for part in by_part.keys() - named:
                del by_part[part]


def _incidents(crashes: list[Crash]) -> int:
    """Returns the number of incidents in some crashes.

    Crashes close to each other are one, except those of one prompt: it runs on one server at a
    time, so each of its crashes came after the one before.
    """
    at_by_server: dict[BackendName, float] = {}
    times_by_prompt_by_start: dict[float, dict[Prompt, list[float]]] = {}
    start = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.at):
        at = at_by_server.get(crash.server, float("-inf"))
        if crash.at - at >= SAME_CRASH_SECONDS:
            at = at_by_server[crash.server] = crash.at
        if at - start >= INCIDENT_SECONDS:
            start = at
        times = times_by_prompt_by_start.setdefault(start, {}).setdefault(crash.prompt, [])
        if not times or crash.at - times[-1] >= MIN_RUN_SECONDS:
            times.append(crash.at)
    return sum(
        max(len(times) for times in times_by_prompt.values())
        for times_by_prompt in times_by_prompt_by_start.values()
    )

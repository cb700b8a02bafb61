"""Detection of prompt parts that crash the engines which run them.

Requests that share such a part differ in everything else, so that digests of whole
requests do not identify them. A crash breaks off all answers of its engine, and is
recorded for all their parts, however far each answer was. What distinguishes a part
that crashes engines is that answers on it are not completed, and that it was present at
crashes which no other suspected part explains.

Load pattern: a small share of the requests of one caller, no two of them equal, at all
nodes, each of which costs an engine and all other requests on it.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from cachetools import LRUCache

# Crashed servers after the last completed answer from which a part is blocked.
MAX_PART_CRASHES = 3
# A part on which answers were completed before is more likely to be present by chance
# when servers crash, for example when a failure domain loses power.
MAX_SOUND_PART_CRASHES = 6
# Nodes measure the times of crashes differently, and may count one less than a node
# that has blocked a part.
CONVICTION_MARGIN = 1  # crashes
# No part with fewer crashes can be blocked.
MIN_SUSPECT_CRASHES = MAX_PART_CRASHES - CONVICTION_MARGIN
# Requests with a part may crash servers often and still be answered at times. Such a
# part is blocked if so many servers crashed, for each completed answer and at least.
MIN_CRASHES_PER_ANSWER = 2
MIN_FREQUENT_CRASHES = 6
# Crashes are forgotten once so many answers were completed after the last one.
N_CLEARING_ANSWERS = 3
# Servers that crash together have a common cause, for example a loss of power, and the
# parts that they were answering do not crash them.
MIN_CRASH_SPACING = 0.1  # seconds; crashes closer to the last counted one count once
MAX_CRASHED_RUNS = 500  # crashed runs of servers whose times are kept
# A full memory or the loss of a domain may have crashed servers as well as a part, so
# that such crashes count less.
WEAK_CRASHES_PER_CRASH = 2
MIN_COMMON_CRASHES = 3  # servers that crash together as in the loss of a domain
# Requests with a blocked part are not run, so that only time can show whether it still
# crashes servers. After one further crash the part is blocked again.
BLOCK_TIME = 600.0  # seconds after the last crash
# The evidence against a part with few crashes is weaker, and its block is shorter.
SHORT_BLOCK_TIME = 60.0  # seconds
MIN_LONG_BLOCK_CRASHES = 5
MAX_PARTS = 500  # suspected parts that are kept
MAX_SOUND_PARTS = 5_000  # parts with completed answers that are kept
MAX_RECORDED = 12  # latest crashes and latest answers that are kept for a part
MAX_SHARED_PARTS = 32  # suspected parts that a node reports to its peers
MAX_SHARED_ANSWERS = 6  # latest answers on such a part that a node reports
MAX_BLAMED_PARTS = 16  # parts of one request for which a crash is recorded
MAX_MEMORY_CRASHES = 100  # crashed servers with a full memory that are kept
MAX_DESCRIBED_SERVERS = 8  # crashed servers named in a log line
MAX_LIVE_RUNS = 500  # runs of servers whose reported crash was wrong that are kept
# Peers get a crash or a completed answer in many status messages in this time.
SHARE_TIME = 30.0  # seconds
# Most parts with a single crash belong to one request, and a crash breaks off many of
# them. Only a few status messages report them.
SINGLE_CRASH_SHARE_TIME = 2.0  # seconds

# A time that comes from a peer is later by the time that its message took. Smaller
# steps are ignored, since times that nodes exchange again and again would advance
# without end.
MIN_MERGED_STEP = 0.3  # seconds
MIN_EARLIER = 0.02  # seconds; smaller differences are errors of rounding
# Only after this time do all nodes know whether a part was answered before its first
# crash.
KNOWLEDGE_TIME = 0.4  # seconds
SUSPECTS_LIFETIME = 0.1  # seconds for which unchanged evidence is not weighed again

NEVER = float("-inf")


@dataclass(slots=True)
class PartRecord:
    """Evidence on a suspected part.

    Attributes
    ----------
    crashes : dict of str to float
        Times of the latest crashes, in seconds, by run of the server.
    answers : dict of str to float
        Times of the latest completed answers since the first crash, in seconds, by
        their ids.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    answers: dict[str, float] = field(default_factory=dict)

    @property
    def crashed_at(self) -> float:
        """Time of the last crash, in seconds."""
        return max(self.crashes.values(), default=NEVER)


@dataclass(slots=True)
class PartReport(PartRecord):
    """Evidence on a suspected part, for other nodes.

    Attributes
    ----------
    sound_at : float
        Time of the last completed answer, also before the crashes, in seconds.
    """

    sound_at: float = NEVER


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Evidence against the most suspected part of a request.

    Attributes
    ----------
    part : str
        Id of the part.
    share : float
        Share of the evidence that would block the part.
    n_crashed : int
        Number of crashed servers, of which those that crashed together count singly.
    """

    part: str
    share: float
    n_crashed: int


@dataclass
class PartCrashes:
    """Crashed servers and completed answers by suspected prompt part.

    Attributes
    ----------
    records : OrderedDict of str to PartRecord
        Evidence by part, the most recently changed parts last.
    sound_at : OrderedDict of str to float
        Times, in seconds, of the last completed answer by part.
    memory_crashes : OrderedDict of str to float
        Times, in seconds, of the crashes of servers whose memory was full, by run.
    n_crashes : int
        Number of times that crashes of a part became known.

    Examples
    --------
    >>> crashes = PartCrashes()
    >>> for number, server in enumerate("abc"):  # one a second
    ...     crashes.observe_crash(["common", "bad"], server, now=number)
    >>> crashes.find_blocked(["common", "good"], now=3)
    >>> crashes.find_blocked(["common", "bad"], now=3)
    'common'
    >>> crashes.observe_sound(["common", "good", "own"], "answer", now=4)
    >>> crashes.find_blocked(["other", "bad"], now=5)
    'bad'
    """

    records: OrderedDict[str, PartRecord] = field(default_factory=OrderedDict)
    sound_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    memory_crashes: OrderedDict[str, float] = field(default_factory=OrderedDict)
    n_crashes: int = 0
    _cleared: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _convicted_at: LRUCache[str, float] = field(
        default_factory=lambda: LRUCache(MAX_PARTS)
    )
    _alive: LRUCache[str, float] = field(
        default_factory=lambda: LRUCache(MAX_LIVE_RUNS)
    )
    _run_crashes: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _run_times: list[float] = field(default_factory=list)  # sorted
    _version: int = 0  # changes with the evidence
    _suspects: dict[str, tuple[bool, int, float]] = field(default_factory=dict)
    _suspects_key: tuple[int, int] = (-1, 0)
    _n_since_answer: dict[str, int] = field(default_factory=dict)  # by part
    _n_since_answer_version: int = -1

    @property
    def version(self) -> int:
        """Number that changes with the evidence on suspected parts."""
        return self._version

    # Evidence

    def observe_crash(
        self,
        parts: Collection[str],
        server_run: str,
        *,
        now: float,
        memory_full: bool = False,
    ) -> None:
        """Record a crash for the parts of a request that the server had.

        Parameters
        ----------
        parts : collection of str
            Ids of the request's parts.
        server_run : str
            Identifier of the server and of its start.
        now : float
            Time of the crash, in seconds.
        memory_full : bool, default=False
            Whether the server's memory was full.
        """
        if memory_full:
            self._add_memory_crashes({server_run: now})
        for part in list(parts)[:MAX_BLAMED_PARTS]:
            self._add_crashes(part, {server_run: now})

    def _add_memory_crashes(self, crashes: Mapping[str, float]) -> None:
        for run, at in crashes.items():
            if run not in self.memory_crashes:
                self.memory_crashes[run] = at
                self._version += 1
        while len(self.memory_crashes) > MAX_MEMORY_CRASHES:
            self.memory_crashes.popitem(last=False)

    def _add_crashes(self, part: str, crashes: Mapping[str, float]) -> None:
        self._add_run_crashes(crashes)
        record = self.records.get(part)
        known = record.crashes if record else {}
        cleared_at = self._cleared.get(part, NEVER)
        added = self._find_news(crashes, known, since=cleared_at)
        if not added:
            return
        if record is None:
            record = self.records[part] = PartRecord()
        record.crashes = _keep_latest(known | added, MAX_RECORDED)
        self.records.move_to_end(part)
        self._version += 1
        self.n_crashes += not added.keys() <= known.keys()
        if len(self.records) > MAX_PARTS:
            del self.records[min(self.records, key=self._compute_retention)]

    def _add_run_crashes(self, crashes: Mapping[str, float]) -> None:
        """Record when runs of servers crashed, whatever requests they had."""
        added = self._find_news(crashes, self._run_crashes)
        if added:
            self._run_crashes.update(added)
            while len(self._run_crashes) > MAX_CRASHED_RUNS:
                self._run_crashes.popitem(last=False)
            self._sort_run_times()
            self._version += 1

    def _find_news(
        self,
        crashes: Mapping[str, float],
        known: Mapping[str, float],
        *,
        since: float = NEVER,
    ) -> dict[str, float]:
        """Return the crashes after a time that are not known, or not as early.

        The node that noticed a crash first knows its time best. Crashes before the last
        sign of life of their run are left out.
        """
        return {
            run: at
            for run, at in crashes.items()
            if at > max(since, self._alive.get(run, NEVER))
            and at < known.get(run, math.inf) - MIN_EARLIER
        }

    def _sort_run_times(self) -> None:
        self._run_times = sorted(self._run_crashes.values())

    def _compute_retention(self, part: str) -> tuple[int, float]:
        record = self.records[part]
        return len(record.crashes), record.crashed_at

    def observe_sound(
        self, parts: Collection[str], answer_id: str, *, now: float
    ) -> None:
        """Record that an answer to a request with these parts was completed.

        Parameters
        ----------
        parts : collection of str
            Ids of the request's parts. The last one is mostly the request's own, and
            is not remembered unless it is suspected.
        answer_id : str
            Identifier of the answer, unique among all nodes.
        now : float
            Time of the end of the answer, in seconds.
        """
        for number, part in enumerate(parts, start=1):
            if number < len(parts) or part in self.records:
                self._add_answers(part, {answer_id: now})

    def _add_answers(self, part: str, answers: Mapping[str, float]) -> None:
        record = self.records.get(part)
        known = record.answers if record is not None else {}
        last = max((at for it, at in answers.items() if it not in known), default=NEVER)
        self._observe_sound_at(part, last)
        if record is None or answers.keys() <= known.keys():
            return
        record.answers = _keep_latest(answers | known, MAX_RECORDED)
        self._version += 1
        crashed_at = record.crashed_at
        n_after = sum(at > crashed_at for at in record.answers.values())
        if n_after >= N_CLEARING_ANSWERS:
            self._clear(part, max(record.answers.values()))

    def _observe_sound_at(self, part: str, at: float) -> None:
        if at <= self.sound_at.get(part, NEVER):
            return
        if part in self.records:
            self._version += 1
        self.sound_at[part] = at
        self.sound_at.move_to_end(part)
        while len(self.sound_at) > MAX_SOUND_PARTS:
            self.sound_at.popitem(last=False)

    def _merge_sound_at(self, part: str, at: float) -> None:
        if at > self.sound_at.get(part, NEVER) + MIN_MERGED_STEP:
            self._observe_sound_at(part, at)

    def _clear(self, part: str, until: float) -> None:
        """Forget the crashes of a part up to a time."""
        record = self.records.get(part)
        if record is not None:
            record.crashes = {
                run: at for run, at in record.crashes.items() if at > until
            }
            if not record.crashes:
                del self.records[part]
        self._version += 1
        self._cleared[part] = max(until, self._cleared.get(part, NEVER))
        self._cleared.move_to_end(part)
        while len(self._cleared) > MAX_PARTS:
            self._cleared.popitem(last=False)

    def observe_alive(self, server_run: str, *, now: float) -> bool:
        """Forget the crash of a run that has shown signs of life since.

        Parameters
        ----------
        server_run : str
            Identifier of the server and of its start.
        now : float
            Time of the sign of life, in seconds.

        Returns
        -------
        bool
            Whether a crash of the run had been recorded.
        """
        suspected = [it for it in self.records.items() if server_run in it[1].crashes]
        for part, record in suspected:
            del record.crashes[server_run]
            if not record.crashes:
                del self.records[part]
        if suspected:
            self._alive[server_run] = now
            self._run_crashes.pop(server_run, None)
            self._sort_run_times()
            self._version += 1
        return bool(suspected)

    def has_crashed(self, server_run: str) -> bool:
        """Return whether a crash of a run of a server is recorded for any part."""
        return any(server_run in it.crashes for it in self.records.values())

    def list_crashed_runs(self) -> set[str]:
        """Return the runs of servers of which a crash is recorded for any part."""
        return set().union(*(it.crashes for it in self.records.values()))

    # Decisions

    def find_blocked(self, parts: Collection[str], *, now: float) -> str | None:
        """Return the part because of which a request must not be run.

        Parameters
        ----------
        parts : collection of str
            Ids of the request's parts.
        now : float
            Current time, in seconds.

        Returns
        -------
        str or None
            Id of a blocked part; None if the request may be run.

        Notes
        -----
        A part is present by chance at crashes that another part causes. Crashes at
        which a part was present that the request does not have, and that has no weaker
        evidence against it, do not count against the request.
        """
        if self.records.keys().isdisjoint(parts):
            return None
        suspects = self._list_suspects(now)
        for part in parts:
            if part not in suspects:
                continue
            others = [
                other
                for other, strength in suspects.items()
                if other not in parts and strength >= suspects[part]
            ]
            if self._is_enough(part, self._list_unexplained(part, others)):
                return part
        return None

    def _list_unexplained(self, part: str, others: Collection[str]) -> dict[str, float]:
        """Return the crashes of a part at which none of the others was present."""
        explained = {run for other in others for run in self.records[other].crashes}
        crashes = self.records[part].crashes
        return {run: at for run, at in crashes.items() if run not in explained}

    def find_suspicion(self, parts: Collection[str]) -> Suspicion | None:
        """Return the evidence against the most suspected part of a request.

        Parameters
        ----------
        parts : collection of str
            Ids of the request's parts.

        Returns
        -------
        Suspicion or None
            None if no server has crashed under one of the parts since an answer on it
            was completed, at which no other part was present more often.
        """
        suspicions: list[Suspicion] = []
        for part in self.records.keys() & parts:
            n_crashes = self._get_n_since_answer(part)
            if not n_crashes:
                continue
            others = [
                other
                for other, record in self.records.items()
                if other not in parts
                and len(record.crashes) > n_crashes
                and self._get_n_since_answer(other) > n_crashes
            ]
            unexplained = self._select_since_answer(
                part, self._list_unexplained(part, others)
            )
            share = self._count(unexplained) / self._get_max_crashes(part)
            if share:
                suspicions.append(Suspicion(part, share, len(unexplained)))
        # Nodes that know the same crashes find the same part.
        return max(
            suspicions, key=lambda it: (it.share, it.n_crashed, it.part), default=None
        )

    def compute_suspicion(self, parts: Collection[str]) -> float:
        """Return the share of the evidence that would block a request, 0 for none.

        Parameters
        ----------
        parts : collection of str
            Ids of the request's parts.

        Returns
        -------
        float
            Share of the most suspected part; see ``find_suspicion``.
        """
        suspicion = self.find_suspicion(parts)
        return suspicion.share if suspicion is not None else 0.0

    def _get_n_since_answer(self, part: str) -> int:
        """Return the number of crashes of a part since its last completed answer."""
        if self._n_since_answer_version != self._version:
            self._n_since_answer_version = self._version
            self._n_since_answer.clear()
        if part not in self._n_since_answer:
            n_crashes = self._count_since_answer(part, self.records[part].crashes)
            self._n_since_answer[part] = n_crashes
        return self._n_since_answer[part]

    def _list_suspects(self, now: float) -> dict[str, tuple[bool, int, float]]:
        """Return the strength of the evidence against the suspected parts, by part."""
        key = self._version, int(now / SUSPECTS_LIFETIME)
        if key != self._suspects_key:
            self._suspects_key = key
            self._suspects = {
                part: self._compute_strength(part)
                for part in self.records
                if self._is_suspect(part, now)
            }
        return self._suspects

    def _is_suspect(self, part: str, now: float, *, alone: bool = False) -> bool:
        """Return whether the crashes of a part suffice to block it.

        With ``alone``, what other nodes have decided does not count.
        """
        record = self.records[part]
        # Most parts after the loss of many servers have one crash.
        if len(record.crashes) < MIN_SUSPECT_CRASHES or not self._is_enough(
            part, record.crashes, alone=alone
        ):
            return False
        n_crashes = self._count(record.crashes)
        if (
            part not in self.sound_at
            and now - min(record.crashes.values()) < KNOWLEDGE_TIME
            and n_crashes < MAX_SOUND_PART_CRASHES
        ):
            return False
        block_time = (
            BLOCK_TIME if n_crashes >= MIN_LONG_BLOCK_CRASHES else SHORT_BLOCK_TIME
        )
        return now - record.crashed_at < block_time

    def _is_enough(
        self, part: str, crashes: Mapping[str, float], *, alone: bool = False
    ) -> bool:
        is_convicted = not alone and self._convicted_at.get(
            part, NEVER
        ) > self.sound_at.get(part, NEVER)
        margin = CONVICTION_MARGIN if is_convicted else 0
        n_required = self._get_max_crashes(part) - margin
        since_answer = self._select_since_answer(part, crashes)
        # Counting separate crashes takes longest, and they are no more than all.
        if len(since_answer) >= n_required and self._count(since_answer) >= n_required:
            return True
        n_answers = len(self.records[part].answers)
        n_required = (
            max(MIN_FREQUENT_CRASHES, MIN_CRASHES_PER_ANSWER * n_answers) - margin
        )
        return (
            len(crashes) >= n_required
            and self._count_frequent(part, crashes) >= n_required
        )

    def _get_max_crashes(self, part: str) -> int:
        return MAX_SOUND_PART_CRASHES if part in self.sound_at else MAX_PART_CRASHES

    def _compute_strength(self, part: str) -> tuple[bool, int, float]:
        """Return how strong the evidence against a part is, for comparisons.

        Parts without an answer since their first crash come before others, whatever
        their number of crashes. Of parts that were present at the same number of
        crashes, one whose last answer was completed earlier is more likely to have
        caused them.
        """
        crashes = self.records[part].crashes
        n_crashes = max(
            self._count_since_answer(part, crashes), self._count_frequent(part, crashes)
        )
        is_unanswered = not self.records[part].answers
        return is_unanswered, n_crashes, -self.sound_at.get(part, NEVER)

    def _count_since_answer(self, part: str, crashes: Mapping[str, float]) -> int:
        """Return the number of crashes after the last completed answer on a part."""
        return self._count(self._select_since_answer(part, crashes))

    def _select_since_answer(
        self, part: str, crashes: Mapping[str, float]
    ) -> dict[str, float]:
        sound_at = self.sound_at.get(part, NEVER)
        return {run: at for run, at in crashes.items() if at > sound_at}

    def _count_frequent(self, part: str, crashes: Mapping[str, float]) -> int:
        """Return the number of crashes in the time of the recorded answers."""
        answers = self.records[part].answers
        since = min(answers.values()) if len(answers) >= MAX_RECORDED else NEVER
        return self._count({run: at for run, at in crashes.items() if at > since})

    def _count(self, crashes: Mapping[str, float]) -> int:
        """Return the number of separate crashes; weak ones count half.

        Crashes beside a full memory, and those of several servers at the same time, may
        have another cause than a request.
        """
        by_memory = crashes.keys() & self.memory_crashes.keys()
        n_weak = len(self._group_crashes(crashes, by_memory))
        n_full = 0
        for first, last in self._group_crashes(crashes, crashes.keys() - by_memory):
            if self._count_crashed_runs(first, last) >= MIN_COMMON_CRASHES:
                n_weak += 1
            else:
                n_full += 1
        return n_full + n_weak // WEAK_CRASHES_PER_CRASH

    def _group_crashes(
        self, crashes: Mapping[str, float], runs: Collection[str]
    ) -> list[tuple[float, float]]:
        return _group_times(self._run_crashes.get(it, crashes[it]) for it in runs)

    def _count_crashed_runs(self, first: float, last: float) -> int:
        """Return the number of runs that crashed together, with any requests."""
        since, until = first - MIN_CRASH_SPACING / 2, last + MIN_CRASH_SPACING / 2
        return bisect_left(self._run_times, until) - bisect_right(
            self._run_times, since
        )

    def describe(self, part: str) -> dict[str, int | bool | list[str]]:
        """Return the evidence on a part, for log lines."""
        record = self.records.get(part, PartRecord())
        return {
            "n_crashes": len(record.crashes),
            "n_separate": self._count(record.crashes),
            "n_since_answer": self._count_since_answer(part, record.crashes),
            "n_answers": len(record.answers),
            "was_sound": part in self.sound_at,
            "servers": sorted(record.crashes)[:MAX_DESCRIBED_SERVERS],
        }

    # Exchange

    def list_blocked(self, *, now: float) -> dict[str, dict[str, float]]:
        """Return the crashes of the parts that have crashed enough servers, by part.

        A request with one of these parts may still be run if another part, which the
        request does not have, explains the crashes.
        """
        return {
            part: dict(self.records[part].crashes) for part in self._list_suspects(now)
        }

    def list_convicted(self, *, now: float) -> list[str]:
        """Return the parts that this node blocks by its own evidence."""
        return [
            part
            for part in self._list_suspects(now)
            if self._is_suspect(part, now, alone=True)
        ][:MAX_SHARED_PARTS]

    def observe_convicted(self, parts: Iterable[str], *, now: float) -> None:
        """Record that another node or the store has blocked parts.

        Parameters
        ----------
        parts : iterable of str
            Ids of the parts.
        now : float
            Current time, in seconds.
        """
        for part in parts:
            if part not in self._convicted_at and part in self.records:
                self._version += 1
            self._convicted_at[part] = now

    def list_recent(self, *, now: float) -> dict[str, PartReport]:
        """Return the evidence that peers should know, by part.

        Returns
        -------
        dict of str to PartReport
            Evidence on blocked parts, and on those with a crash in the last
            ``SHARE_TIME``, or ``SINGLE_CRASH_SHARE_TIME`` if it is the only one; those
            with the most crashes first, then the latest.
        """
        suspects = self._list_suspects(now)
        rows = [
            (part in suspects, self._compute_retention(part), part)
            for part, record in self.records.items()
            if now - record.crashed_at < SINGLE_CRASH_SHARE_TIME
            or (now - record.crashed_at < SHARE_TIME and self._is_repeated(part))
            or part in suspects
        ]
        rows.sort(reverse=True)
        return {
            part: PartReport(
                self.records[part].crashes,
                _keep_latest(self.records[part].answers, MAX_SHARED_ANSWERS)
                if self._is_repeated(part)
                else {},
                self.sound_at.get(part, NEVER),
            )
            for _, _, part in rows[:MAX_SHARED_PARTS]
        }

    def _is_repeated(self, part: str) -> bool:
        """Return whether a part was present at several separate crashes."""
        crashes = self.records[part].crashes
        return len(crashes) > 1 and self._count(crashes) > 1

    def list_recently_sound(self, *, now: float) -> dict[str, float]:
        """Return when completed answers last cleared a part, by part.

        Returns
        -------
        dict of str to float
            Times in seconds, those of the last ``SHARE_TIME``.
        """
        rows = [(it, at) for it, at in self._cleared.items() if now - at < SHARE_TIME]
        return dict(rows[-MAX_SHARED_PARTS:])

    def list_memory_crashes(self, *, now: float) -> dict[str, float]:
        """Return the crashes of servers with a full memory of the last ``SHARE_TIME``.

        Returns
        -------
        dict of str to float
            Times in seconds by run of the server.
        """
        rows = self.memory_crashes.items()
        return {run: at for run, at in rows if now - at < SHARE_TIME}

    def merge(
        self,
        reports: Mapping[str, PartReport],
        sound_at: Mapping[str, float],
        memory_crashes: Mapping[str, float] | None = None,
    ) -> None:
        """Merge what a peer or the store knows.

        Parameters
        ----------
        reports : mapping of str to PartReport
            Evidence by part, with times on this node's clock.
        sound_at : mapping of str to float
            Times at which completed answers cleared a part, in seconds on this node's
            clock.
        memory_crashes : mapping of str to float, or None
            Times of the crashes of servers with a full memory, by run.
        """
        self._add_memory_crashes(memory_crashes or {})
        for part, at in sound_at.items():
            self._merge_sound_at(part, at)
            if at > self._cleared.get(part, NEVER) + MIN_MERGED_STEP:
                self._clear(part, at)
        for part, report in reports.items():
            self._add_crashes(part, report.crashes)
            if part in self.records:
                self._merge_sound_at(part, report.sound_at)
            if report.answers:
                self._add_answers(part, report.answers)


def _keep_latest(times: Mapping[str, float], n_kept: int) -> dict[str, float]:
    return dict(sorted(times.items(), key=lambda it: it[1])[-n_kept:])


def _group_times(times: Iterable[float]) -> list[tuple[float, float]]:
    """Return the first and the last time of each group of crashes close together.

    Examples
    --------
    >>> _group_times([1.0, 1.05, 1.3, 2.0])
    [(1.0, 1.05), (1.3, 1.3), (2.0, 2.0)]
    """
    groups: list[tuple[float, float]] = []
    for at in sorted(times):
        if groups and at - groups[-1][0] < MIN_CRASH_SPACING:
            groups[-1] = groups[-1][0], at
        else:
            groups.append((at, at))
    return groups

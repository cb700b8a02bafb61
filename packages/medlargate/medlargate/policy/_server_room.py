"""Room in the memory of engines that several nodes fill at the same time.

Load pattern: requests of very different size, together larger than the servers' memory,
arrive at nodes that learn of each other's requests some milliseconds to a second late.
A server crashes if the requests that it holds exceed its memory.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from functools import lru_cache

import xxhash

TURN_TIME = 0.2  # seconds for which one node may fill a server
# Time at the end of a turn in which its node sends nothing. The next node has by then
# heard of all requests; clocks differ by a few milliseconds.
TURN_GUARD = 0.05  # seconds
# Other nodes that may send to a server within the time that messages take. All of a
# small fleet do after a server has come back or a node has been paused.
MAX_SIMULTANEOUS_NODES = 8
TRANSIT_TIME = 0.1  # seconds after which all nodes have heard of a request
# Nodes without the turn fill servers only to this share of the bound; the rest is for
# the node that has it.
OPEN_SHARE = 0.5
# Requests above this share of the memory are announced to the other nodes at once.
LARGE_SHARE = 0.05
# From this share of the memory on, all requests are announced at once.
CONTENDED_SHARE = 0.5
# A server that crashes above this share of its memory was full. The rest covers
# requests that this node did not hear of.
FULL_SHARE = 0.9
# Below this share, memory that is smaller than stated is an unlikely cause of a crash.
SUSPECT_SHARE = 0.4
# Share of the bound that the least urgent of several classes leaves to the others.
URGENT_RESERVE = 0.25
MAX_OVERTAKE_TIME = 0.5  # seconds
MAX_OVERTAKE_FRACTION = 1 / 3  # of the time to the deadline
# A server notices that a connection was closed when it next writes to it.
LINGER_TIME = 1.0  # seconds
QUANTILE = 0.95  # of output lengths; the margin of the bound covers the rest
MIN_SAMPLES = 20  # answers before the measured lengths are used
QUANTILE_STEP = 0.05  # relative change of the quantile after each answer
MAX_HINT_ERROR = 20.0  # measured over hinted length
# Output of a request without a hint, a declared maximum and measured answers.
DEFAULT_OUTPUT = 256  # tokens
HASH_CACHE_SIZE = 10_000  # servers
OVERRUN_MARGIN = 1.1  # expected over actual length of an answer longer than expected


def has_turn(server_id: str, *, rank: int, n_nodes: int, wall_time: float) -> bool:
    """Return whether a node may fill a server now.

    Parameters
    ----------
    server_id : str
        Server to which the node wants to send a request.
    rank : int
        Number of live nodes with a lower name.
    n_nodes : int
        Number of live nodes, this one included.
    wall_time : float
        Time of day, in seconds.

    Returns
    -------
    bool
        Whether it is the node's turn, and its end is not near. Always True for a node
        without peers.
    """
    return not count_turns_ahead(
        server_id, rank=rank, n_nodes=n_nodes, wall_time=wall_time
    )


def count_turns_ahead(
    server_id: str, *, rank: int, n_nodes: int, wall_time: float
) -> int:
    """Return the number of live nodes whose turn at a server comes before a node's.

    Parameters
    ----------
    server_id, rank, n_nodes, wall_time
        As for ``has_turn``.

    Returns
    -------
    int
        0 for the node that has the turn; all nodes near the end of a turn.
    """
    if n_nodes <= 1:
        return 0
    number, elapsed = divmod(wall_time, TURN_TIME)
    if elapsed > TURN_TIME - TURN_GUARD:
        return n_nodes
    return (rank - int(number) - _hash_server(server_id)) % n_nodes


@lru_cache(HASH_CACHE_SIZE)
def _hash_server(server_id: str) -> int:
    return xxhash.xxh32_intdigest(server_id.encode())


def compute_memory_bound(
    capacity: int, *, max_share: float, n_alive: int, n_nodes: int
) -> float:
    """Return the tokens that all nodes together may hold at a server.

    Parameters
    ----------
    capacity : int
        Tokens that the server's memory holds.
    max_share : float
        Share of it that requests may fill.
    n_alive, n_nodes : int
        Live nodes, this one included, and nodes that were heard in the last minutes.
        The missing ones may send requests to the server unseen.

    Returns
    -------
    float
        Number of tokens.
    """
    return capacity * max_share * min(1.0, n_alive / max(1, n_nodes))


def fits(
    size: float,
    *,
    n_held: float,
    n_recent: float,
    typical_size: float,
    bound: float,
    capacity: int,
    turn: bool,
    contended: bool,
    n_others: int,
) -> bool:
    """Return whether a node may send a request to a server.

    Parameters
    ----------
    size : float
        Tokens that the request occupies.
    n_held : float
        Tokens that all nodes hold at the server, as far as known.
    n_recent : float
        Part of them that this node has sent within ``TRANSIT_TIME``. Other nodes may
        not know of it, and may have sent as much.
    typical_size : float
        Mean size of the requests of the service.
    bound : float
        Tokens that they may hold.
    capacity : int
        Tokens that the server's memory holds.
    turn : bool
        Whether the node has the turn at the server.
    contended : bool
        Whether several requests wait at the node. Others then wait at other nodes.
    n_others : int
        Number of other live nodes.

    Returns
    -------
    bool
        In its turn, whether the request fits beside what other nodes may have sent
        unseen while the server seemed empty, or is alone on the server. Otherwise,
        whether it fits beside one of the same size from another node, or, while
        requests wait, into a part of the memory beside those of several nodes.
    """
    n_simultaneous = 1 + min(n_others, MAX_SIMULTANEOUS_NODES)
    n_seen = n_held - n_recent
    n_open = OPEN_SHARE * bound
    if turn:
        is_open = n_others and n_seen + typical_size * n_simultaneous <= n_open
        margin = n_open - n_seen if is_open and contended else 0.0
        is_alone = n_held == 0 and size <= capacity
        return n_held + size + margin <= bound or is_alone
    if not contended:
        return n_held + size * (1 + min(n_others, 1)) <= bound
    return n_seen + (n_recent + size) * n_simultaneous <= n_open


def fits_class(
    size: float,
    *,
    urgency: float,
    n_held: float,
    n_recent: float,
    typical_size: float,
    bound: float,
    capacity: int,
    n_turns_ahead: int,
    contended: bool,
    n_others: int,
) -> bool:
    """Return whether a node may send a request of one of several priorities.

    Load pattern: engines whose memory is full, urgent requests that wait at many nodes,
    and less urgent ones that arrive at nodes without a queue. As for slots, less urgent
    requests leave room to urgent ones of all nodes, and a node with a queue is held
    back no more than one without.

    Parameters
    ----------
    size, n_held, n_recent, typical_size, bound, capacity, contended, n_others
        As for ``fits``.
    urgency : float
        Rank of the priority among those that arrive, from 0 for the least urgent to 1.
    n_turns_ahead : int
        Live nodes whose turn at the server comes first; 0 in the node's own turn.

    Returns
    -------
    bool
        In the node's turn, whether the request fits into the room of its class, beside
        the half that the other nodes use, or is alone on the server. Otherwise, whether
        it fits beside one of another node or, while requests wait, whether that half
        holds a request of each node whose turn comes first, up to
        ``MAX_SIMULTANEOUS_NODES`` of them.
    """
    n_free = (1 - URGENT_RESERVE * (1 - urgency)) * bound - (n_held - n_recent)
    n_open, n_each = n_free / 2, max(typical_size, size)
    if not n_turns_ahead:
        # A half that is too small for the others is left to the node that has the turn.
        is_open = n_others and contended and n_each <= n_open
        n_left = n_open if is_open else 0.0
        is_alone = n_held == 0 and size <= capacity
        return n_recent + size + n_left <= n_free or is_alone
    if not contended:
        return n_recent + 2 * size <= n_free
    n_ahead = min(n_turns_ahead, MAX_SIMULTANEOUS_NODES)
    return n_recent == 0 and n_each * n_ahead <= n_open


def should_announce(size: float, *, n_held: float, bound: float) -> bool:
    """Return whether other nodes should hear of a request on a server at once.

    Parameters
    ----------
    size : float
        Tokens that the request occupies.
    n_held : float
        Tokens that all nodes hold at the server, the request included.
    bound : float
        Tokens that they may hold.

    Returns
    -------
    bool
        Whether the request is large or the server is filled to a good part.
    """
    return size >= LARGE_SHARE * bound or n_held >= CONTENDED_SHARE * bound


def may_reserve(
    size: float, *, mean_size: float, waited: float, time_to_deadline: float
) -> bool:
    """Return whether smaller requests have overtaken a waiting one for long enough.

    Parameters
    ----------
    size, mean_size : float
        Tokens of the request, and mean of those that were placed lately.
    waited : float
        Time since its arrival, in seconds.
    time_to_deadline : float
        Time between its arrival and its deadline, in seconds.

    Returns
    -------
    bool
        Whether room is reserved for the request.
    """
    limit = min(MAX_OVERTAKE_TIME, MAX_OVERTAKE_FRACTION * time_to_deadline)
    return size > mean_size and waited >= limit


def predict_least_release(
    n_tokens: float, *, size: float, release_rate: float
) -> float:
    """Return the least time until room for a number of tokens is released.

    Parameters
    ----------
    n_tokens : float
        Tokens that must be released.
    size : float
        Tokens that one request releases.
    release_rate : float
        Tokens released per second; 0 if none was released lately.

    Returns
    -------
    float
        Time in seconds that is exceeded with a probability of about 0.975 if requests
        end independently of each other. 0 without a measured rate, as nothing is known
        then.
    """
    if release_rate <= 0 or n_tokens <= 0:
        return 0.0
    # Two standard deviations above the mean number of ends.
    n_ends = (math.sqrt(1 + n_tokens / size) - 1) ** 2
    return n_ends * size / release_rate


def count_started(requests: Iterable[HeldRequest]) -> int:
    """Return the least tokens that a server holds that counts shared parts in full."""
    return sum(it.n_prompt + it.n_produced for it in requests if it.has_started)


@dataclass(slots=True)
class HeldRequest:
    """Request of this node that occupies memory of a server.

    Attributes
    ----------
    n_prompt : int
        Tokens of the prompt.
    n_expected : float
        Tokens of the answer, as expected when the request was sent.
    max_output : int or None
        Declared maximum length of the answer in tokens.
    parts : tuple of (str, int)
        Ids and tokens of the prompt parts that other requests may have too.
    urgency : float or None
        Rank of the priority among those of the service that arrive, from 0 for the
        least urgent to 1; None if there is only one.
    n_produced : int
        Tokens of the answer so far.
    has_started : bool
        Whether the prompt has been processed.
    sent_at : float
        Time at which it was sent, in seconds.
    has_ended : bool
        Whether the server has finished the request or has not run it. Otherwise it may
        hold the request for some time after its connection was closed.
    """

    n_prompt: int
    n_expected: float
    max_output: int | None = None
    parts: tuple[tuple[str, int], ...] = ()
    urgency: float | None = None
    n_produced: int = 0
    has_started: bool = False
    sent_at: float = float("-inf")
    has_ended: bool = False

    @property
    def n_tokens(self) -> float:
        """Tokens that the request will occupy at its end."""
        expected = self.n_expected
        if self.n_produced > expected:
            expected = self.n_produced * OVERRUN_MARGIN
            if self.max_output is not None:
                expected = max(self.n_produced, min(expected, self.max_output))
        return self.n_prompt + expected


def count_held(requests: Sequence[HeldRequest]) -> tuple[float, float]:
    """Return the tokens of requests on a server.

    Parameters
    ----------
    requests : sequence of HeldRequest
        Requests on the server.

    Returns
    -------
    tuple of (float, float)
        Tokens with each prompt in full, and with each shared part once.
    """
    n_full = sum(it.n_tokens for it in requests)
    known: set[str] = set()
    n_saved = 0
    for request in requests:
        n_saved += count_shared(request.parts, known)
        known.update(part_id for part_id, _ in request.parts)
    return n_full, n_full - n_saved


def count_shared(parts: Iterable[tuple[str, int]], known: Collection[str]) -> int:
    """Return the tokens of a prompt's leading parts that are already on a server."""
    n_tokens = 0
    for part_id, n_part_tokens in parts:
        if part_id not in known:
            break
        n_tokens += n_part_tokens
    return n_tokens


@dataclass(slots=True)
class _QuantileTracker:
    """Quantile of a stream of positive numbers, by steps up and down."""

    value: float = 0.0
    n_samples: int = 0

    def observe(self, sample: float) -> None:
        self.n_samples += 1
        if self.n_samples <= MIN_SAMPLES:
            # The first samples only set a safe starting point.
            self.value = max(self.value, sample)
            return
        step = QUANTILE_STEP * max(self.value, 1e-3)
        self.value += step * (QUANTILE if sample > self.value else QUANTILE - 1)

    def get(self) -> float | None:
        return self.value if self.n_samples >= MIN_SAMPLES else None


@dataclass
class OutputLengths:
    """Lengths of the answers of a route, and the errors of its callers' hints.

    Examples
    --------
    >>> lengths = OutputLengths()
    >>> lengths.predict(hint=None, max_output=160)
    160.0
    >>> for _ in range(20):
    ...     lengths.observe(80, hint=40)
    >>> lengths.predict(hint=50, max_output=160), lengths.predict(None, 60)
    (100.0, 60.0)
    """

    lengths: _QuantileTracker = field(default_factory=_QuantileTracker)
    hint_errors: _QuantileTracker = field(default_factory=_QuantileTracker)

    def observe(self, n_tokens: int, *, hint: int | None) -> None:
        """Record the length of a complete answer.

        Parameters
        ----------
        n_tokens : int
            Length of the answer in tokens.
        hint : int or None
            The caller's estimate of it.
        """
        self.lengths.observe(n_tokens)
        if hint is not None and hint > 0:
            self.hint_errors.observe(min(n_tokens / hint, MAX_HINT_ERROR))

    def predict(self, hint: int | None, max_output: int | None) -> float:
        """Return a length that few answers exceed.

        Parameters
        ----------
        hint : int or None
            The caller's estimate, in tokens; None or 0 if there is none.
        max_output : int or None
            Declared maximum in tokens; None or 0 if there is none.

        Returns
        -------
        float
            Tokens, at most the declared maximum.
        """
        limit = float(max_output) if max_output else math.inf
        error, length = self.hint_errors.get(), self.lengths.get()
        if hint and error is not None:
            return min(hint * error, limit)
        if length is not None:
            return min(length, limit)
        if limit < math.inf:
            return limit
        return float(max(hint or 0, DEFAULT_OUTPUT))

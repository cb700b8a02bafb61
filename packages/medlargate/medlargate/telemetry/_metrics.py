"""OpenTelemetry instruments with a bound on the number of label values."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

OVERFLOW_LABEL = "other"
TIME_BUCKETS = (
    0.001,
    0.005,
    0.01,
    0.026,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.7,
    3.0,
    10.0,
    60.0,
)
TOKEN_BUCKETS = (1, 10, 30, 100, 300, 1000, 3000, 10_000)


class LabelLimiter:
    """Limits label cardinality: values beyond the limit are reported as ``other``.

    Parameters
    ----------
    max_values : int
        Number of distinct values that are kept; the first ones seen.

    Examples
    --------
    >>> limiter = LabelLimiter(max_values=1)
    >>> limiter.get_label("a"), limiter.get_label("b")
    ('a', 'other')
    """

    def __init__(self, *, max_values: int) -> None:
        self._max_values = max_values
        self._seen: set[str] = set()

    def get_label(self, value: str) -> str:
        """Return the label value to report for a value.

        Parameters
        ----------
        value : str
            Unbounded value, for instance the name of a customer.

        Returns
        -------
        str
            The value itself, or ``"other"`` when the limit is reached.
        """
        if value in self._seen:
            return value
        if len(self._seen) >= self._max_values:
            return OVERFLOW_LABEL
        self._seen.add(value)
        return value


class Metrics:
    """The metric instruments of one node.

    Parameters
    ----------
    max_label_values : int, default=200
        Maximum number of customers that get their own label value.
    """

    def __init__(self, *, max_label_values: int = 200) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        self._provider = MeterProvider([reader], views=_make_views())
        meter = self._provider.get_meter("medlargate")
        self._customers = LabelLimiter(max_values=max_label_values)
        self._queue_decisions = meter.create_counter(
            "medlargate_queue_decisions", "{request}", "Begun and rejected, by priority"
        )
        # An instrument stands on the page in the order of its first use. Collectors
        # that cut a long page keep these rows.
        self._queue_decisions.add(0, {"decision": "begun", "priority": 0})
        self._first_token = meter.create_histogram(
            "medlargate_first_token", "s", "Time to the first token"
        )
        self._interval = meter.create_histogram(
            "medlargate_token_interval", "s", "Mean time between tokens of a request"
        )
        self._queue_wait = meter.create_histogram(
            "medlargate_queue_wait", "s", "Time between arrival and dispatch"
        )
        self._tokens = meter.create_histogram(
            "medlargate_output_tokens", "{token}", "Output tokens of a request"
        )
        self._requests = meter.create_counter(
            "medlargate_requests", "{request}", "Requests by outcome"
        )
        self._retries = meter.create_counter(
            "medlargate_retries", "{attempt}", "Requests sent again, by reason"
        )
        self._promised_return = meter.create_histogram(
            "medlargate_promised_return", "s", "Retry-After of callers that returned"
        )
        self._actual_return = meter.create_histogram(
            "medlargate_actual_return", "s", "Time after which these callers returned"
        )
        self._waiting = meter.create_gauge(
            "medlargate_waiting", "{request}", "Waiting requests"
        )
        self._waiting_labels: set[tuple[str, str]] = set()
        self._events = meter.create_counter(
            "medlargate_events", "{event}", "Fleet events by kind"
        )
        self._spill_share = meter.create_gauge(
            "medlargate_spill_share", "1", "Part of the work that leaves the domain"
        )
        self._spill_gain = meter.create_gauge(
            "medlargate_spill_gain", "s", "Time that a request gains by leaving"
        )

    def observe_queue_decision(
        self, decision: str, priority: int, evidence: str = ""
    ) -> None:
        """Count a request that was sent to a server or rejected by its queue.

        Parameters
        ----------
        decision : str
            ``"begun"`` or ``"rejected"``.
        priority : int
            Priority of the request.
        evidence : str
            What a rejection is based on, from a bounded set; empty if not rejected.
        """
        labels = {"decision": decision, "priority": priority}
        if evidence:
            labels["evidence"] = evidence
        self._queue_decisions.add(1, labels)

    def observe_spill(self, service: str, share: float, gain: float) -> None:
        """Record the decision how much of a service's work leaves the domain.

        Parameters
        ----------
        service : str
            Name of the service.
        share : float
            Part of the work that leaves, between 0 and 1.
        gain : float
            Seconds that a request gains by leaving; 0 if none leaves.
        """
        self._spill_share.set(share, {"service": service})
        self._spill_gain.set(gain, {"service": service})

    def observe_request(
        self,
        *,
        customer: str,
        request_class: str,
        outcome: str,
        queue_wait: float | None,
        first_token: float | None,
        interval: float | None,
        n_tokens: int,
    ) -> None:
        """Record a finished request.

        Parameters
        ----------
        customer, request_class, outcome : str
            Label values; the outcome is ``"ok"`` or the code of a refusal.
        queue_wait, first_token, interval : float or None
            Time from arrival to dispatch, time to the first token and mean time between
            tokens, in seconds; None when the request did not reach that stage.
        n_tokens : int
            Number of output tokens.
        """
        labels = {
            "customer": self._customers.get_label(customer),
            "class": request_class,
        }
        self._requests.add(1, {**labels, "outcome": outcome})
        if queue_wait is not None:
            self._queue_wait.record(queue_wait, labels)
        if first_token is not None:
            self._first_token.record(first_token, labels)
        if interval is not None:
            self._interval.record(interval, labels)
        if n_tokens:
            self._tokens.record(n_tokens, labels)

    def observe_return(self, promised: float, actual: float) -> None:
        """Record when a rejected caller returned.

        Parameters
        ----------
        promised, actual : float
            Time given to the caller and time after which it returned, in seconds.
        """
        self._promised_return.record(promised)
        self._actual_return.record(actual)

    def observe_waiting(self, counts: Mapping[tuple[str, str], int]) -> None:
        """Store the numbers of waiting requests.

        Parameters
        ----------
        counts : mapping of (str, str) to int
            Waiting requests by customer and route.
        """
        labelled: Counter[tuple[str, str]] = Counter()
        for (customer, request_class), n_waiting in counts.items():
            labelled[self._customers.get_label(customer), request_class] += n_waiting
        for customer, request_class in self._waiting_labels | labelled.keys():
            labels = {"customer": customer, "class": request_class}
            self._waiting.set(labelled[customer, request_class], labels)
        self._waiting_labels |= labelled.keys()

    def observe_retry(self, reason: str) -> None:
        """Count a retry.

        Parameters
        ----------
        reason : str
            Reason of the retry, from a bounded set.
        """
        self._retries.add(1, {"reason": reason})

    def observe_event(self, kind: str) -> None:
        """Count a fleet event.

        Parameters
        ----------
        kind : str
            Kind of the event, from a bounded set, for instance ``"lease_lost"``.
        """
        self._events.add(1, {"kind": kind})

    def snapshot(self) -> bytes:
        """Return all instruments in Prometheus' text format.

        Returns
        -------
        bytes
            The page that ``/metrics`` serves.
        """
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()


def _make_views() -> list[View]:
    seconds = ExplicitBucketHistogramAggregation(TIME_BUCKETS)
    tokens = ExplicitBucketHistogramAggregation(TOKEN_BUCKETS)
    return [
        View(instrument_name="medlargate_first_token", aggregation=seconds),
        View(instrument_name="medlargate_token_interval", aggregation=seconds),
        View(instrument_name="medlargate_queue_wait", aggregation=seconds),
        View(instrument_name="medlargate_promised_return", aggregation=seconds),
        View(instrument_name="medlargate_actual_return", aggregation=seconds),
        View(instrument_name="medlargate_output_tokens", aggregation=tokens),
    ]

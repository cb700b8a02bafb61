"""OpenTelemetry instruments with a bound on the number of label values."""

from __future__ import annotations

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

OTHER = "other"
SECONDS = (0.001, 0.005, 0.01, 0.026, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 3.0, 10.0, 60.0)
TOKENS = (1, 10, 30, 100, 300, 1000, 3000, 10_000)


class LabelBound:
    """Keeps the first label values seen and folds the rest into ``other``.

    Parameters
    ----------
    max_values : int
        Values kept.

    Examples
    --------
    >>> bound = LabelBound(max_values=1)
    >>> bound.decide("a"), bound.decide("b")
    ('a', 'other')
    """

    def __init__(self, *, max_values: int) -> None:
        self._max_values = max_values
        self._seen: set[str] = set()

    def decide(self, value: str) -> str:
        """Return the label for a value.

        Parameters
        ----------
        value : str
            For instance a customer's name.

        Returns
        -------
        str
            The value, or ``"other"``.
        """
        if value in self._seen:
            return value
        if len(self._seen) >= self._max_values:
            return OTHER
        self._seen.add(value)
        return value


class Metrics:
    """The node's instruments.

    Parameters
    ----------
    max_label_values : int, default=200
        Customers with label values of their own.
    """

    def __init__(self, *, max_label_values: int = 200) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        self._provider = MeterProvider([reader], views=_views())
        meter = self._provider.get_meter("medlargate")
        self._customers = LabelBound(max_values=max_label_values)
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
        self._changes = meter.create_counter(
            "medlargate_events", "{event}", "Fleet events by kind"
        )

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
        """Take in one finished request.

        Parameters
        ----------
        customer, request_class, outcome : str
            Labels; the outcome is ``"ok"`` or a refusal's code.
        queue_wait, first_token, interval : float or None
            Seconds; None when it did not get that far.
        n_tokens : int
            Output tokens.
        """
        labels = {"customer": self._customers.decide(customer), "class": request_class}
        self._requests.add(1, {**labels, "outcome": outcome})
        if queue_wait is not None:
            self._queue_wait.record(queue_wait, labels)
        if first_token is not None:
            self._first_token.record(first_token, labels)
        if interval is not None:
            self._interval.record(interval, labels)
        if n_tokens:
            self._tokens.record(n_tokens, labels)

    def observe_retry(self, reason: str) -> None:
        """Take in one request sent again.

        Parameters
        ----------
        reason : str
            Why, from a bounded set.
        """
        self._retries.add(1, {"reason": reason})

    def observe_event(self, kind: str) -> None:
        """Take in one fleet event.

        Parameters
        ----------
        kind : str
            From a bounded set, for instance ``"lease_lost"``.
        """
        self._changes.add(1, {"kind": kind})

    def snapshot(self) -> bytes:
        """Report all instruments in Prometheus' text format.

        Returns
        -------
        bytes
            The page that ``/metrics`` serves.
        """
        return generate_latest(self._registry)

    def close(self) -> None:
        """Stop the provider."""
        self._provider.shutdown()


def _views() -> list[View]:
    seconds = ExplicitBucketHistogramAggregation(SECONDS)
    tokens = ExplicitBucketHistogramAggregation(TOKENS)
    return [
        View(instrument_name="medlargate_first_token", aggregation=seconds),
        View(instrument_name="medlargate_token_interval", aggregation=seconds),
        View(instrument_name="medlargate_queue_wait", aggregation=seconds),
        View(instrument_name="medlargate_output_tokens", aggregation=tokens),
    ]

"""Counters and gauges as OpenTelemetry instruments, for who asks for them.

Loaded on the first request for metrics: the libraries take memory and time at
the start of a process that many nodes never need.
"""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider

from hingesill_node.telemetry.counters import COUNTER_TEXTS, GAUGE_TEXTS

__all__ = ["start_metrics"]


def observe(counters, name):
    """Yield the observations of one counter."""
    for subject, reason, amount in counters.list_counts(name):
        yield Observation(amount, {"subject": subject, "reason": reason})


def start_metrics(counters, gauges):
    """Register all counters and gauges with OpenTelemetry.

    Parameters
    ----------
    counters : Counters
        Read on each collection.
    gauges : callable
        Returns the current value by gauge name.
    """
    provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
    meter = provider.get_meter("hingesill")
    for name, text in COUNTER_TEXTS.items():
        meter.create_observable_counter(
            f"hingesill_{name}",
            callbacks=[lambda options, name=name: observe(counters, name)],
            description=text,
        )
    for name, text in GAUGE_TEXTS.items():
        meter.create_observable_gauge(
            f"hingesill_{name}",
            callbacks=[lambda options, name=name: [Observation(gauges()[name])]],
            description=text,
        )
    return provider

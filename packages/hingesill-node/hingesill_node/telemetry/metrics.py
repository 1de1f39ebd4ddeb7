"""Counters and gauges as OpenTelemetry instruments.

Loaded on the first request for metrics: the libraries need memory and start-up time,
and many nodes are never asked for metrics.
"""

from itertools import accumulate

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY
from prometheus_client.core import HistogramMetricFamily

from hingesill_node.telemetry.counters import (
    COUNTER_TEXTS,
    GAUGE_TEXTS,
    LATENCY_BOUNDS,
)

__all__ = ["start_metrics"]


class LatencyCollector:
    """Exports the latency of answers as one histogram per service.

    Parameters
    ----------
    counters : Counters
        Read on each collection. OpenTelemetry's own histograms need each value as
        it occurs, which would load its libraries into every process.
    """

    def __init__(self, counters):
        self.counters = counters

    def collect(self):
        """Yield the histogram family."""
        family = HistogramMetricFamily(
            "hingesill_latency_seconds", "Times of answers.", labels=["service"]
        )
        bounds = [str(bound) for bound in LATENCY_BOUNDS] + ["+Inf"]
        for service, latencies in list(self.counters.latencies.items()):
            counts = accumulate(latencies.buckets)
            family.add_metric([service], list(zip(bounds, counts)), latencies.total)
        yield family


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
        Returns the current values by gauge name.
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
    REGISTRY.register(LatencyCollector(counters))
    return provider

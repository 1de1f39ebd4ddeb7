"""Model-check the specifications and their broken variants: ``make model-check``."""

import json
import sys
from dataclasses import dataclass, field

from minicheck import check_liveness, check_safety

from model import (
    forwarding,
    granting,
    lives,
    probing,
    quotas,
    restoring,
    spreading,
    takeover,
    watching,
)

__all__ = ["Report", "check_all", "main"]

MAX_STATES = 1_000_000
LIVENESS = "under fair delivery every live node ends at the newest version"


@dataclass
class Report:
    """Results of the model checking.

    Attributes
    ----------
    states : int
        Number of reachable states of the unbroken specifications.
    properties : dict
        Whether each property holds; None if the checker could not decide.
    caught : dict
        For each broken variant, the violated property with the shortest trace and
        the labels of that trace; None if no property fails.
    """

    states: int = 0
    properties: dict = field(default_factory=dict)
    caught: dict = field(default_factory=dict)


def check_protocol(protocol):
    """Return the state count and {property: (holds, trace)} of a protocol."""
    result = check_safety(protocol, MAX_STATES)
    found = {
        name: (item["holds"], item.get("counterexample"))
        for name, item in result["properties"].items()
    }
    if protocol.goal is not None:
        live = check_liveness(protocol)
        found[LIVENESS] = (live["holds"], live.get("counterexample"))
    return result["reachable_states"], found


def check_all():
    """Check all specifications and broken variants and return the report."""
    report = Report()
    modules = (spreading, probing, restoring, granting, quotas, takeover, forwarding)
    for module in (*modules, watching, lives):
        protocol = module.build_protocol()
        states, found = check_protocol(protocol)
        report.states += states
        for name, (holds, _) in found.items():
            # Specifications may share a property name; the protocol keeps them apart.
            report.properties[f"{name} ({protocol.name})"] = holds
        for variant, rules in module.BROKEN.items():
            _, found = check_protocol(module.build_protocol(rules))
            report.caught[variant] = find_shortest(found)
    return report


def find_shortest(found):
    """Return the property and labels of the shortest counterexample, or None."""
    failed = [
        (name, [step["label"] for step in trace if step["label"]])
        for name, (holds, trace) in found.items()
        if holds is False
    ]
    return min(failed, key=lambda item: len(item[1]), default=None)


def main():
    """Print the results and return the exit code."""
    report = check_all()
    for name, holds in report.properties.items():
        print(
            f"{'holds' if holds else 'FAILS' if holds is False else 'UNKNOWN'}: {name}"
        )
    for variant, caught in report.caught.items():
        if caught is None:
            print(f"NOT CAUGHT: {variant}")
            continue
        name, labels = caught
        print(f"caught: {variant}\n  breaks: {name}\n  by: {'; '.join(labels)}")
    violations = sum(holds is not True for holds in report.properties.values())
    summary = {
        "states": report.states,
        "properties": len(report.properties),
        "violations": violations,
        "broken_variants_caught": sum(c is not None for c in report.caught.values()),
    }
    print(json.dumps(summary))
    all_caught = summary["broken_variants_caught"] == len(report.caught)
    return 0 if not violations and all_caught else 1


if __name__ == "__main__":
    sys.exit(main())

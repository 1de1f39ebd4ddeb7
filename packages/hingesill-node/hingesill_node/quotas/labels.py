"""Labels of organisations in counters, whose number is bounded."""

from heapq import nsmallest

__all__ = ["MAX_LABELS", "OTHER", "OrganisationLabels"]

# Organisations with a label of their own; each label multiplies the series of a metric.
MAX_LABELS = 20
# Label of all other organisations.
OTHER = "other"


class OrganisationLabels:
    """Counts by organisation, with a label for each of the largest quotas.

    Parameters
    ----------
    name : str
        Name of the counter.

    Attributes
    ----------
    counters : Counters or None
        Receives the counts.
    """

    def __init__(self, name):
        self.name = name
        self.counters = None
        self._labels = frozenset()

    def configure(self, organisations):
        """Choose the labels; counts of an organisation without one go to `OTHER`.

        Parameters
        ----------
        organisations : dict or None
            Organisation by name.
        """
        limited = [item for item in (organisations or {}).values() if item.rate > 0]
        largest = nsmallest(MAX_LABELS, limited, key=lambda o: (-o.rate, o.name))
        labels = frozenset(organisation.name for organisation in largest)
        removed, self._labels = self._labels - labels, labels
        if self.counters is not None and removed:
            self._merge_counts(removed)

    def _merge_counts(self, names):
        for name, reason, amount in self.counters.list_counts(self.name):
            if name in names:
                self.counters.counts.pop((self.name, name, reason))
                self.counters.add(self.name, OTHER, reason, amount)

    def add(self, organisation, reason):
        """Add one to the count of an organisation and a reason."""
        if self.counters is not None:
            label = organisation if organisation in self._labels else OTHER
            self.counters.add(self.name, label, reason)

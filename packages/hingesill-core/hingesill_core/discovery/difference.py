"""Changes between two snapshots of a directory."""

from msgspec.structs import replace

from hingesill_core.discovery.records import Changes
from hingesill_core.organisations.changes import find_organisation_changes

__all__ = ["find_changed_evacuations", "find_changes"]


def find_changes(before, after):
    """Return the Changes that lead from one Snapshot to a later one.

    Parameters
    ----------
    before, after : Snapshot
        Snapshots of the same directory.

    Notes
    -----
    Records are compared by identity: a directory replaces a record only if its content
    changes.
    """
    declared, organisations = find_declaration_changes(before.declared, after.declared)
    return Changes(
        after.position,
        declared,
        find_changed_records(before.endpoints, after.endpoints),
        find_changed_records(before.nodes, after.nodes),
        after.profile if after.profile is not before.profile else None,
        find_changed_evacuations(before.evacuated, after.evacuated),
        find_changed_records(before.held, after.held),
        after.unlisted if after.unlisted != before.unlisted else None,
        organisations,
    )


def find_declaration_changes(before, after):
    """Return the later declaration, and the changes of its organisations.

    Returns
    -------
    tuple
        DeclaredConfiguration or None, OrganisationChanges or None. The declaration is
        without organisations if there are changes of them: among thousands, few
        change.
    """
    if after is before:
        return None, None
    if before is None or before.organisations is None or after.organisations is None:
        return after, None
    organisations = find_organisation_changes(
        before.organisations, after.organisations, after.organisations_digest
    )
    return replace(after, organisations=None), organisations


def find_changed_evacuations(before, after):
    """Return new evacuation requests by data centre, None for withdrawn ones."""
    changed = dict(after.items() - before.items())
    changed.update((name, None) for name in before.keys() - after.keys())
    return changed


def find_changed_records(before, after):
    """Return records that were added or changed by name, None for removed ones."""
    changed = {
        name: record for name, record in after.items() if before.get(name) is not record
    }
    changed.update((name, None) for name in before.keys() - after.keys())
    return changed

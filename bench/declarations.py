"""Generated declarations for benchmarks, and changes through the operators' API."""

import json
import uuid

from hingesill_api.generated import hingesill_pb2 as pb
from hingesill_cli.client import CallFailed, Client
from hingesill_core.configuration.declaration import ServiceDeclaration

__all__ = ["build_document", "change_services"]


def build_document(number, endpoints, timeout_ms=1000):
    """Return a service's declaration as JSON.

    Parameters
    ----------
    number : int
        Number from which the service's name and addresses are derived.
    endpoints : int
        Number of endpoints.
    timeout_ms : int
        Timeout of the write route, which distinguishes versions.
    """
    name = f"service-{number}"
    content = {
        "service": name,
        "endpoints": [
            {
                "address": f"10.{number // 250}.{number % 250}.{index + 1}:8080",
                "data_centre": f"dc-{index % 26}",
                "connections": 250,
            }
            for index in range(endpoints)
        ],
        "routes": [
            {"method": "GET", "path": f"/{name}/reads", "repeat": "repeatable"},
            {"method": "POST", "path": f"/{name}/writes", "timeout_ms": timeout_ms},
        ],
    }
    return ServiceDeclaration.model_validate(content).model_dump_json().encode()


def change_services(node, documents, versions):
    """Apply documents through a node and return the revision.

    Parameters
    ----------
    node : NodeProcess
        Node that receives the request.
    documents : list of bytes
        One document per service.
    versions : dict
        Expected version per service; updated in place.

    Raises
    ------
    RuntimeError
        If the change is not accepted.
    """
    names = [json.loads(document)["service"] for document in documents]
    changes = [
        pb.Change(
            service=name, document=document, expected_version=versions.get(name, 0)
        )
        for name, document in zip(names, documents)
    ]
    request = pb.ApplyRequest(
        operation_id=uuid.uuid4().hex, author="bench", changes=changes
    )
    reply = Client(node.control).call("Apply", request, 20.0)
    if isinstance(reply, CallFailed):
        raise RuntimeError(reply.reason)
    if reply.outcome != pb.ACCEPTED:
        raise RuntimeError(f"{pb.ApplyOutcome.Name(reply.outcome)}: {reply.reason}")
    versions.update({name: reply.revision for name in names})
    return reply.revision

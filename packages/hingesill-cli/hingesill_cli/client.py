"""Client of a node's Operators service."""

import os
from dataclasses import dataclass
from pathlib import Path

import grpc

from hingesill_api.generated.hingesill_pb2_grpc import OperatorsStub

__all__ = ["CallFailed", "Client"]

DEFAULT_NODE = "127.0.0.1:8081"
CALL_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class CallFailed:
    """Failure of a call to a node.

    Parameters
    ----------
    reason : str
        Error message for the operator.
    """

    reason: str


class Client:
    """Connection to the operators' port of one node.

    Parameters
    ----------
    node : str
        ``IP:PORT``; defaults to ``HINGESILL_NODE``, then to ``DEFAULT_NODE``.
    token : str
        Sent with each call; defaults to ``HINGESILL_TOKEN``.
    ca, certificate, key : str
        PEM files for TLS; default to ``HINGESILL_CA``, ``HINGESILL_CERTIFICATE`` and
        ``HINGESILL_KEY``.
    """

    def __init__(self, node="", token="", ca="", certificate="", key=""):
        self.node = node or os.environ.get("HINGESILL_NODE", DEFAULT_NODE)
        self._token = token or os.environ.get("HINGESILL_TOKEN", "")
        ca = ca or os.environ.get("HINGESILL_CA", "")
        certificate = certificate or os.environ.get("HINGESILL_CERTIFICATE", "")
        key = key or os.environ.get("HINGESILL_KEY", "")
        self._stub = OperatorsStub(self._open(ca, certificate, key))

    def _open(self, ca, certificate, key):
        options = [("grpc.enable_http_proxy", 0)]
        if not ca:
            return grpc.insecure_channel(self.node, options=options)
        credentials = grpc.ssl_channel_credentials(
            Path(ca).read_bytes(),
            Path(key).read_bytes() if key else None,
            Path(certificate).read_bytes() if certificate else None,
        )
        return grpc.secure_channel(self.node, credentials, options=options)

    def call(self, name, request, timeout_seconds=CALL_TIMEOUT_SECONDS):
        """Return the reply to a call, or CallFailed."""
        metadata = [("authorization", f"Bearer {self._token}")] if self._token else []
        try:
            call = getattr(self._stub, name)
            return call(request, timeout=timeout_seconds, metadata=metadata)
        except grpc.RpcError as error:
            code = error.code().name
            return CallFailed(f"node {self.node}: {code}: {error.details()}")

"""The adapter for a key-value service that speaks Consul's HTTP interface.

Source: the public description of its KV store, sessions and blocking queries.
CAS is ``?cas=``, a watch is a blocking query with ``?index=``, a lease is a
session with a TTL that holds a key by ``?acquire=``.
"""

import base64
import json
from urllib.parse import quote

import urllib3

from hingesill_core.store import (
    KeyMissing,
    LeaseGranted,
    LeaseLost,
    StoreFailure,
    Unchanged,
    Value,
    VersionConflict,
    Written,
)
from hingesill_node.store.registry import STORES

__all__ = ["ConsulStore"]

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 2.0
WATCH_SLACK_SECONDS = 2.0
POOL_SIZE = 8
NOT_FOUND = 404


@STORES.register("http")
def open_http(url):
    """Return the store at this address."""
    return ConsulStore(url)


class ConsulStore:
    """The store over HTTP; its calls block, so they run on threads of their own.

    Parameters
    ----------
    url : str
        ``http://IP:PORT``.
    """

    def __init__(self, url):
        self._url = url.rstrip("/")
        self._http = urllib3.PoolManager(
            maxsize=POOL_SIZE, retries=False, block=False, num_pools=2
        )

    def _call(self, method, path, body=None, seconds=ANSWER_SECONDS):
        """Return the response, or StoreFailure.

        A failure may have run unless no connection came about.
        """
        try:
            response = self._http.request(
                method,
                f"{self._url}/v1/{path}",
                body=body,
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=seconds),
            )
        except (
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.NewConnectionError,
        ) as error:
            return StoreFailure(f"no connection: {type(error).__name__}")
        except urllib3.exceptions.HTTPError as error:
            return StoreFailure(f"no answer: {type(error).__name__}", True)
        if response.status >= 500:
            return StoreFailure(f"status {response.status}", True)
        return response

    def get(self, key):
        """See `hingesill_core.store.Store`."""
        return self._read(f"kv/{quote(key)}", ANSWER_SECONDS)

    def _read(self, path, seconds):
        response = self._call("GET", path, seconds=seconds)
        if isinstance(response, StoreFailure):
            return response
        if response.status == NOT_FOUND:
            return KeyMissing()
        try:
            item = json.loads(response.data)[0]
            return Value(
                base64.b64decode(item["Value"] or ""), int(item["ModifyIndex"])
            )
        except (ValueError, LookupError, TypeError) as error:
            return StoreFailure(f"an answer that is not understood: {error}")

    def put(self, key, data, expected):
        """See `hingesill_core.store.Store`."""
        path = f"kv/{quote(key)}?cas={expected}"
        return self._write("PUT", path, data, VersionConflict())

    def _write(self, method, path, body, refused):
        response = self._call(method, path, body=body)
        if isinstance(response, StoreFailure):
            return response
        if response.status != 200:
            return StoreFailure(f"status {response.status}")
        return Written() if response.data.strip() == b"true" else refused

    def delete(self, key):
        """See `hingesill_core.store.Store`."""
        return self._write("DELETE", f"kv/{quote(key)}", None, Written())

    def watch(self, key, version, timeout):
        """See `hingesill_core.store.Store`."""
        # An index of 0 would not wait; a missing key is waited for at index 1.
        index = max(1, version)
        wait = f"{int(timeout * 1000)}ms"
        answer = self._read(
            f"kv/{quote(key)}?index={index}&wait={wait}",
            timeout + WATCH_SLACK_SECONDS,
        )
        same = isinstance(answer, (Value, KeyMissing)) and answer.version == version
        return Unchanged() if same else answer

    def acquire(self, key, holder, ttl):
        """See `hingesill_core.store.Store`."""
        body = json.dumps({"TTL": f"{ttl:g}s", "LockDelay": "0s", "Name": holder})
        response = self._call("PUT", "session/create", body=body.encode())
        if isinstance(response, StoreFailure):
            return response
        try:
            lease = json.loads(response.data)["ID"]
        except (ValueError, LookupError, TypeError) as error:
            return StoreFailure(f"an answer that is not understood: {error}")
        path = f"kv/{quote(key)}?acquire={lease}"
        taken = self._write("PUT", path, holder.encode(), LeaseLost())
        if isinstance(taken, Written):
            return LeaseGranted(lease, ttl)
        self.release(lease)
        return taken

    def renew(self, lease, ttl):
        """See `hingesill_core.store.Store`."""
        response = self._call("PUT", f"session/renew/{quote(lease)}")
        if isinstance(response, StoreFailure):
            return response
        return LeaseGranted(lease, ttl) if response.status == 200 else LeaseLost()

    def release(self, lease):
        """See `hingesill_core.store.Store`."""
        return self._write("PUT", f"session/destroy/{quote(lease)}", None, Written())

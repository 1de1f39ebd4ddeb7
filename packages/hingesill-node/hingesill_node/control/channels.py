"""gRPC channels to other nodes, and the TLS credentials of server and client."""

from pathlib import Path

import grpc

__all__ = ["Channels", "build_channel_credentials", "build_server_credentials"]

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
)


def read_file(path):
    """Return the content of a file as bytes."""
    return Path(path).read_bytes()


def build_server_credentials(settings):
    """Return the server credentials, or None without TLS.

    Parameters
    ----------
    settings : Settings
        Settings that name the files. With a CA, other nodes and operators must
        present a certificate signed by it.
    """
    if not settings.tls_certificate:
        return None
    key_and_certificate = (
        read_file(settings.tls_key),
        read_file(settings.tls_certificate),
    )
    ca = read_file(settings.tls_ca) if settings.tls_ca else None
    return grpc.ssl_server_credentials(
        [key_and_certificate], ca, require_client_auth=bool(ca)
    )


def build_channel_credentials(settings):
    """Return the credentials for channels to other nodes, or None without TLS."""
    if not settings.tls_certificate:
        return None
    return grpc.ssl_channel_credentials(
        read_file(settings.tls_ca) if settings.tls_ca else None,
        read_file(settings.tls_key),
        read_file(settings.tls_certificate),
    )


class Channels:
    """One channel per address, opened on first use.

    Parameters
    ----------
    credentials : grpc.ChannelCredentials or None
        None for plain TCP.
    """

    def __init__(self, credentials):
        self._credentials = credentials
        self._channels = {}

    def get(self, address):
        """Return the channel to an address."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open(address)
        return channel

    def _open(self, address):
        if self._credentials is None:
            return grpc.aio.insecure_channel(address, options=OPTIONS)
        return grpc.aio.secure_channel(address, self._credentials, options=OPTIONS)

    async def drop(self, address):
        """Close the channel to an address."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self):
        """Close all channels."""
        for address in list(self._channels):
            await self.drop(address)

"""Corrupts bytes as a faulty writer or network link might."""

__all__ = ["spoil"]


def spoil(rng, data):
    """Return bytes of which a few are changed, removed or inserted.

    Parameters
    ----------
    rng : random.Random
        Chooses the changes.
    data : bytes
        The intact bytes; not empty.
    """
    data = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(data))
        kind = rng.randrange(3)
        if kind == 0:
            data[position] = rng.randrange(256)
        elif kind == 1:
            del data[position : position + rng.randint(1, 8)]
        else:
            data[position:position] = rng.choice((b"[", b"{", b'"', b"9" * 30))
        data = data or bytearray(b"x")
    return bytes(data)

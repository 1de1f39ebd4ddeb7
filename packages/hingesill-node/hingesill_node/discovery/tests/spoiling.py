"""Spoils bytes as a bad writer, or a link, might."""

__all__ = ["spoil"]


def spoil(rng, data):
    """Return bytes of which a few are others, gone or too many.

    Parameters
    ----------
    rng : random.Random
        Decides which.
    data : bytes
        Whole; not empty.
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

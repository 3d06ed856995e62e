"""Counts of the reads of connections, by iterations of the event loop."""


def count_reads_by_iteration(monkeypatch, kind, loop):
    """Count the reads of connections of this class by iterations of the event loop; returns the counts."""
    counts = [0]
    original = kind.buffer_updated

    def next_iteration():
        counts.append(0)
        loop.call_soon(next_iteration)

    def counted(connection, size):
        counts[-1] += 1
        original(connection, size)

    monkeypatch.setattr(kind, "buffer_updated", counted)
    loop.call_soon(next_iteration)
    return counts

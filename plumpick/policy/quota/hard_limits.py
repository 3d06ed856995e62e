"""A hard ceiling divided for good: which part of it a gateway has by its place in a firm's set, with nobody's
word. No I/O, no clock.

Its parts sum to the whole whatever breaks, since each is a function of settings and numbers alone. Danger: a
wide set's even parts of the burst each hold less than one unit, so that nobody could ever send by them. Seen
at 60 gateways with sets of 13: a burst of 27 units, of which 7.8 are for the set; while its home was silent
such a firm got nothing at all."""

from __future__ import annotations


def slice_of(burst: float, spread: int, place: int) -> float:
    """The part of a gateway in what is the set's: `burst` units for all of its `spread` gateways together,
    the one at `place` counted from the firm's home, which is 0. Even parts where each holds a unit; else as
    many as there are units have one each, and the others none."""
    whole = int(burst)
    if burst >= spread or whole < 1 or spread == 1:
        return 1 / spread
    return 1 / whole if 1 <= place <= whole else 0.0

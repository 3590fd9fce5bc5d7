"""Revisions of rows in the store, which may come back from a copy.

Each restore of the store begins an era, in which revisions of the era before
are given out again. A revision consists of its era and the store's number, so
that those of different eras never compare as equal, and later eras are above.
"""

_NUMBER_BITS = 40

MAX_NUMBER = (1 << _NUMBER_BITS) - 1
"""The store's numbers rise by one with each transaction."""


def make_revision(era: int, number: int) -> int:
    """Makes a revision from the era and the store's number."""
    return (era << _NUMBER_BITS) | number


def find_era(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> _NUMBER_BITS


def find_number(revision: int) -> int:
    """Returns the store's number of a revision; 0 for an absent row."""
    return revision & MAX_NUMBER


def is_same_era(one: int, other: int) -> bool:
    """Returns whether two revisions are of one era."""
    return find_era(one) == find_era(other)

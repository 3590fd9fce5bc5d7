"""Decides whether a request's body is sent with an offer, or after acceptance.

Answers an overload on slow links: each busy server that refused a request had
got its body, too, and the bodies filled the links of the servers that looked
best. While few offers are refused, the body goes along and saves a round trip.
"""

MIN_BODY_BYTES = 1_000
"""Smaller bodies are sent along; the rest of a request is about as long."""

LARGE_BODY_BYTES = 262_144
"""Larger bodies always follow; another node may have no memory for them."""

MIN_REFUSED_SHARE = 0.15
"""Share of refused offers from which bodies follow after acceptance."""

NEWEST_WEIGHT = 0.05
"""Weight of the newest offer; the share follows a burst within a second."""


class OfferHistory:
    """The share of this node's offers that other nodes have refused lately."""

    __slots__ = ("_refused_share",)

    def __init__(self) -> None:
        self._refused_share = 0.0

    @property
    def refused_share(self) -> float:
        """Share of the offers that were refused, 0 to 1."""
        return self._refused_share

    def record(self, *, is_refused: bool) -> None:
        """Records what another node has replied to an offer."""
        self._refused_share += NEWEST_WEIGHT * (
            is_refused - self._refused_share
        )

    def should_withhold(self, body_bytes: int) -> bool:
        """Returns whether a body is sent only after the offer is accepted."""
        if body_bytes >= LARGE_BODY_BYTES:
            return True
        return (
            body_bytes >= MIN_BODY_BYTES
            and self._refused_share >= MIN_REFUSED_SHARE
        )

"""Steps for offers of requests to busy servers."""

import behave
from behave import runner

from rhubarblead.requests import offer_history

_OFFER_COUNT = 200


@behave.given("offers of which {refused:d} of each 10 are refused")
def make_history(context: runner.Context, refused: int) -> None:
    context.offers = offer_history.OfferHistory()
    for number in range(_OFFER_COUNT):
        context.offers.record(is_refused=number * 7 % 10 < refused)


@behave.when("{count:d} offers are {fate:w}")
def record(context: runner.Context, count: int, fate: str) -> None:
    for _ in range(count):
        context.offers.record(is_refused=fate == "refused")


@behave.then("a body of {size:d} bytes is {when}")
def check(context: runner.Context, size: int, when: str) -> None:
    is_withheld = context.offers.should_withhold(size)
    expected = when == "sent after an acceptance"
    assert is_withheld == expected, context.offers.refused_share

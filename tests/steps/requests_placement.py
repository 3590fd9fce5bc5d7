"""Steps for placing requests without a key."""

import behave
from behave import runner

from rhubarblead.requests import placement


def _read_place(word: str) -> placement.Place:
    name, domain, free, wait, age, service = word.split(":")
    return placement.Place(
        node_id=name,
        is_same_domain=domain == "h",
        free_count=int(free),
        wait_ms=float(wait),
        age_ms=float(age),
        service_ms=int(service),
    )


@behave.given('places "{places}"')
def make(context: runner.Context, places: str) -> None:
    context.places = [_read_place(word) for word in places.split()]


@behave.when(
    'a {kind:w} is placed, refused by "{refused}",' ' not at "{excluded}"'
)
def place_with_all(
    context: runner.Context, kind: str, refused: str, excluded: str
) -> None:
    waits = {}
    for word in refused.split():
        name, wait = word.split(":")
        waits[name] = int(wait)
    context.choice = placement.choose(
        places=context.places,
        refused_waits=waits,
        excluded=set(excluded.split()),
        is_download=kind == "download",
        random_share=0.0,
    )


@behave.when('a {kind:w} is placed, refused by "", not at ""')
def place(context: runner.Context, kind: str) -> None:
    place_with_all(context, kind, "", "")


@behave.when('a {kind:w} is placed, refused by "{refused}",' ' not at ""')
def place_refused(context: runner.Context, kind: str, refused: str) -> None:
    place_with_all(context, kind, refused, "")


@behave.when('a {kind:w} is placed, refused by "",' ' not at "{excluded}"')
def place_excluded(context: runner.Context, kind: str, excluded: str) -> None:
    place_with_all(context, kind, "", excluded)


@behave.then("it goes to {choice}")
def check(context: runner.Context, choice: str) -> None:
    found = context.choice
    text = "nowhere"
    if found is not None:
        text = found.node_id + (" may wait" if found.may_wait else "")
    assert text == choice, text

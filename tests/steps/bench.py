"""Steps for reading the journal and the logs of the users' bench."""

import pathlib
import tempfile
import tomllib

import behave
from behave import runner
import msgspec

from tools.bench import comparison
from tools.bench import entries
from tools.bench import losses
from tools.bench import margins
from tools.bench import retry_use
from tools.bench import short_days
from tools.bench import slot_use

_MACHINES_COST = 0.1


def _write_entry(folder: str, number: int, word: str) -> None:
    name, seed, worth = word.split(":")
    day = {
        "name": name,
        "seed": int(seed),
        "G": float(worth),
        "parts": [["day", 1.0, float(worth)]],
        "prices": [["machines", 3.0, _MACHINES_COST]],
        "other": "is passed over",
    }
    entry = {"id": str(number), "why": "round 1", "site": "s", "days": [day]}
    path = pathlib.Path(folder) / f"{number}.json"
    path.write_bytes(msgspec.json.encode(entry))


def _read(text: str) -> comparison.Plays:
    with tempfile.TemporaryDirectory() as folder:
        for number, word in enumerate(text.split()):
            _write_entry(folder, number, word)
        return entries.find_plays(pathlib.Path(folder).iterdir(), "round 1")


@behave.given('plays of one version "{plays}"')
def read_before(context: runner.Context, plays: str) -> None:
    context.before = _read(plays)


@behave.given('plays of another version "{plays}"')
def read_after(context: runner.Context, plays: str) -> None:
    context.after = _read(plays)


@behave.when("they are compared")
def compare(context: runner.Context) -> None:
    context.found = comparison.compare(context.before, context.after)


@behave.then(
    "the mean difference of {count:d} pairs is {mean:g}, {certainty:w}"
)
def check_difference(
    context: runner.Context, count: int, mean: float, certainty: str
) -> None:
    if not count:
        assert not context.found, context.found
        return
    worth = context.found[0]
    assert worth.name == "worth"
    assert worth.count == count, worth
    assert abs(worth.mean - mean) < 1e-9, worth
    assert worth.is_certain == (certainty == "certain"), worth


@behave.then('the mean losses are "{wanted}"')
def check_losses(context: runner.Context, wanted: str) -> None:
    days = [day for found in context.before.values() for day in found]
    found = [f"{name}:{loss:.1f}" for name, loss in losses.find_losses(days)]
    assert found == wanted.split(), found


@behave.given("the log lines")
def read_log(context: runner.Context) -> None:
    context.log_lines = context.text.splitlines()


@behave.then("the table of service {service:w} is")
def check_table(context: runner.Context, service: str) -> None:
    usage = slot_use.read(context.log_lines)
    found = slot_use.format_service(usage, service)
    assert found == context.text.splitlines(), found


@behave.then(
    "the most retries to service {service:w} are {count:d}, until {end:d} ms,"
    " with {allowed:g} allowed"
)
def check_retries(
    context: runner.Context, service: str, count: int, end: int, allowed: float
) -> None:
    peaks = retry_use.find_peaks(context.log_lines)
    assert peaks[service] == retry_use.Peak(
        ends_ms=end, retry_count=count, allowed_count=allowed
    ), peaks


@behave.when("{count:d} short days are drawn")
def draw_days(context: runner.Context, count: int) -> None:
    context.days = [short_days.draw(seed) for seed in range(count)]


@behave.then(
    "each has {least:d} to {most:d} disruptions of several targets, within"
    " {within:d} s"
)
def check_disruptions(
    context: runner.Context, least: int, most: int, within: int
) -> None:
    targets = {item.kind: item.target for item in short_days.DISRUPTIONS}
    for day in context.days:
        entries = day.faults + day.plan
        assert least <= len(entries) <= most, day
        assert len({targets[item["kind"]] for item in entries}) > 1, day
        starts = [item["at"] for item in entries]
        assert max(starts) - min(starts) <= within, day


@behave.then("each kind and each variant is drawn")
def check_variants(context: runner.Context) -> None:
    drawn = {
        (item["kind"], item.get("how", ""))
        for day in context.days
        for item in day.faults + day.plan
    }
    expected = {
        (item.kind, variant)
        for item in short_days.DISRUPTIONS
        for variant in item.variants
    }
    assert drawn == expected, drawn ^ expected


@behave.then(
    "each day that is drawn again is the same, also read from its file"
)
def check_drawn_again(context: runner.Context) -> None:
    for seed, day in enumerate(context.days):
        assert short_days.draw(seed) == day
        read = tomllib.loads(short_days.format_day(day))
        assert read["faults"] == list(day.faults), read
        assert read["plan"] == list(day.plan), read


@behave.then("the margins are")
def check_margins(context: runner.Context) -> None:
    found = [
        margins.format_margin(item).strip()
        for item in margins.find_margins(context.log_lines)
    ]
    assert found == [line.strip() for line in context.text.splitlines()], found

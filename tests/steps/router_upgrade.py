"""Steps for nodes of different versions."""

import json
import pathlib
import re
import subprocess
import tempfile
import tomllib

import behave
from behave import runner
import msgspec

from rhubarblead.router import wire
from tools import golden
from tools import production

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_UNKNOWN_TAG = 120
# Sent only to nodes whose state says that they request bodies.
_ASKED_FOR = {"Body", "BodyRequest"}


def _find_production() -> str:
    content = (_ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    return str(tomllib.loads(content)["production"])


@behave.given("the samples of the production version")
def load_samples(context: runner.Context) -> None:
    content = json.loads(production.SAMPLES.read_text(encoding="utf-8"))
    assert content["commit"] == _find_production(), content["commit"]
    context.samples = content["samples"]
    context.described = content["described"]


@behave.when("this version decodes them")
def decode(context: runner.Context) -> None:
    context.decoded = {
        name: golden.describe(name, bytes.fromhex(text))
        for name, text in context.samples.items()
    }


@behave.then("none is refused, and each keeps its values")
def check_decoded(context: runner.Context) -> None:
    for name, described in context.described.items():
        _check_values(name, described, context.decoded[name])


def _check_values(name: str, written: str, read: str) -> None:
    """Checks that all values of an older description stand in a newer one."""
    assert not read.startswith("refused"), (name, read)
    fields = re.findall(r"\w+=(?:'[^']*'|[^,()\[\]{}]+)", written)
    missing = [field for field in fields if field not in read]
    assert not missing, (name, missing, read)


@behave.given("the samples of this version")
def make_samples(context: runner.Context) -> None:
    context.samples = {
        name: data.hex() for name, data in golden.list_samples().items()
    }


@behave.when("the production version decodes them")
def decode_by_production(context: runner.Context) -> None:
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "archive", _find_production(), "src"],
            cwd=_ROOT,
            check=True,
            capture_output=True,
        )
        subprocess.run(
            ["tar", "-xf", "-", "-C", folder],
            input=archive.stdout,
            check=True,
        )
        context.decoded = json.loads(
            production.run_golden(
                f"{folder}/src", "decode", json.dumps(context.samples)
            )
        )


@behave.then("it refuses at most the kinds that nodes must ask for")
def check_refused(context: runner.Context) -> None:
    refused = {
        name
        for name, described in context.decoded.items()
        if described.startswith("refused")
    }
    assert refused <= _ASKED_FOR, refused


@behave.then("the values that it reads are those that were written")
def check_values(context: runner.Context) -> None:
    for name, read in context.decoded.items():
        if not read.startswith("refused"):
            content = bytes.fromhex(context.samples[name])
            _check_values(name, read, golden.describe(name, content))


@behave.given("a message of {kind:w}")
def make_message(context: runner.Context, kind: str) -> None:
    content = golden.list_samples()[kind]
    context.expected = wire.decode(content)
    context.fields = msgspec.msgpack.decode(content)


@behave.when("a later version {change}")
def change_message(context: runner.Context, change: str) -> None:
    match change:
        case "adds a field":
            context.fields.append("later")
        case "uses a new kind":
            context.fields[0] = _UNKNOWN_TAG
        case _:
            assert change == "changes a type", change
            context.fields[1] = {"a": 1}


@behave.then("this version {reaction}")
def check_reaction(context: runner.Context, reaction: str) -> None:
    content = msgspec.msgpack.encode(context.fields)
    try:
        decoded = wire.decode(content)
    except wire.CannotDecode:
        assert reaction == "refuses the message only", reaction
        return
    assert reaction == "reads the fields it knows", reaction
    assert decoded == context.expected


@behave.given("the state of a node of a version without withheld bodies")
def make_old_state(context: runner.Context) -> None:
    fields = msgspec.msgpack.decode(golden.list_samples()["State"])
    names = [field.name for field in msgspec.structs.fields(wire.State)]
    # The tag stands before the fields.
    fields = fields[: 1 + names.index("requests_bodies")]
    context.state = wire.decode(msgspec.msgpack.encode(fields))


@behave.then("it says that it doesn't request bodies")
def check_old_state(context: runner.Context) -> None:
    assert context.state.requests_bodies is False

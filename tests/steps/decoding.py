"""Steps for decoders of content that others have written."""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import tempfile
from typing import Any

import behave
from behave import runner
import hypothesis
from hypothesis import strategies
import msgspec

from rhubarblead import faults
from rhubarblead import messages
from rhubarblead import settings as product_settings
from rhubarblead import status
from rhubarblead import tables
from rhubarblead.events import record
from rhubarblead.keyspace import assignment
from rhubarblead.keyspace import members
from rhubarblead.platform import configuration
from rhubarblead.platform import headers
from rhubarblead.platform import heartbeats
from rhubarblead.platform import settings
from rhubarblead.platform import store
from rhubarblead.requests import poison
from rhubarblead.requests import stored_crashes
from rhubarblead.router import wire
from rhubarblead.tablestore import ownership_row
from rhubarblead.upstream import monitor
from tests import platform_samples
from tests.rhubarblead import odd_content

_SAMPLES: dict[str, str] = json.loads(
    (
        pathlib.Path(__file__).resolve().parent.parent
        / "golden"
        / "production.json"
    ).read_text(encoding="utf-8")
)["samples"]
_EXAMPLE = (
    pathlib.Path(__file__).resolve().parent.parent.parent
    / "examples"
    / "garam-jalan"
)
_ROW = {
    "table": "rb",
    "part": "",
    "key": "k",
    "value": "AAEC",
    "revisionNumber": 7,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Case:
    """Valid content, its decoder, and how that refuses content."""

    sample: bytes
    decode: Callable[[bytes], object]
    refusal: type[Exception]
    is_json: bool = True


def _encode(document: object) -> bytes:
    return json.dumps(document).encode()


def _make_wire_case(name: str) -> _Case:
    return _Case(
        sample=bytes.fromhex(_SAMPLES[name]),
        decode=wire.decode,
        refusal=wire.CannotDecode,
        is_json=False,
    )


def _decode_rows(content: bytes) -> object:
    outcome = store.decode_read(200, content)
    assert isinstance(outcome, store.Rows | store.NotDone), outcome
    return outcome


def _decode_written(content: bytes) -> object:
    store.decode_write(412, content)
    return store.decode_write(200, content)


def _record_stored(content: bytes) -> None:
    detector = poison.PoisonDetector()
    crashes = stored_crashes.decode(content, now_ms=1_000, store_ms=2_000)
    for crash in crashes * 2:
        detector.record_crash(crash, 1_000)
    for crash in crashes:
        detector.classify([s.fingerprint for s in crash.suspects], 1_000)


def _read_settings(content: bytes) -> product_settings.Settings:
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        file.write(content)
        file.flush()
        return product_settings.read_settings(pathlib.Path(file.name))


_RECORD = record.Record(
    number=1,
    name="n",
    level="info",
    instance="i",
    incarnation="p",
    sequence=1,
    lamport=2,
    wall_ms=3,
    monotonic_ms=4,
    fields={"a": 1},
)
_CASES = {
    "a heartbeat": _Case(
        sample=_encode(platform_samples.HEARTBEAT),
        decode=lambda content: heartbeats.decode(
            platform_samples.HEARTBEAT_TARGET, content
        ),
        refusal=heartbeats.CannotDecode,
    ),
    "a deregistration": _Case(
        sample=_encode({"born": 1_700_000_000_000}),
        decode=lambda content: heartbeats.decode(
            "/rpc?call=instances.deregister&of=i-7f", content
        ),
        refusal=heartbeats.CannotDecode,
    ),
    "the configuration": _Case(
        sample=_encode(platform_samples.make_configuration()),
        decode=configuration.decode,
        refusal=configuration.CannotDecode,
    ),
    "the settings": _Case(
        sample=_encode(platform_samples.SETTINGS),
        decode=settings.decode,
        refusal=settings.CannotLoad,
    ),
    "rows of the store": _Case(
        sample=_encode(
            {"rows": [_ROW, _ROW], "revisionNumber": 9, "nowMs": 12}
        ),
        decode=_decode_rows,
        refusal=AssertionError,
    ),
    "an answer to a write": _Case(
        sample=_encode({"rows": [_ROW], "revisionNumber": 9, "nowMs": 12}),
        decode=_decode_written,
        refusal=AssertionError,
    ),
    "a member row": _Case(
        sample=bytes.fromhex(_SAMPLES["row:Member"]),
        decode=members.decode,
        refusal=members.CannotDecode,
        is_json=False,
    ),
    "an assignment row": _Case(
        sample=bytes.fromhex(_SAMPLES["row:Assignment"]),
        decode=assignment.decode,
        refusal=assignment.CannotDecode,
        is_json=False,
    ),
    "a row of crashes": _Case(
        sample=stored_crashes.encode(
            [
                poison.Crash(
                    crash_id="c",
                    happened_at_ms=7,
                    suspects=(poison.Suspect(fingerprint=5, started_at_ms=6),),
                    is_alone=True,
                    reporter="n1",
                )
            ],
            now_ms=8,
            store_ms=9,
        ),
        decode=_record_stored,
        refusal=stored_crashes.CannotDecode,
        is_json=False,
    ),
    "a state message": _make_wire_case("State"),
    "a request message": _make_wire_case("Work"),
    "an outcome message": _make_wire_case("Outcome"),
    "a change message": _make_wire_case("AssignmentChange"),
    "a crash message": _make_wire_case("CrashSuspects"),
    "an ownership row": _Case(
        sample=ownership_row.encode_row(ownership_row.Row()),
        decode=lambda content: ownership_row.decode_row(content, revision=0),
        refusal=ownership_row.CannotDecode,
    ),
    "a message between nodes": _Case(
        sample=messages.encode(
            messages.Heartbeat(
                member_id="m",
                granters_epoch=1,
                sequence=2,
                sent_at_ms=3,
                revisions=messages.Revisions(ownership=1, tables=1),
            )
        ),
        decode=messages.decode,
        refusal=msgspec.DecodeError,
        is_json=False,
    ),
    "a health answer": _Case(
        sample=_encode(
            {
                "server": "s",
                "incarnation": "i",
                "state": "serving",
                "clock_ms": 1,
            }
        ),
        decode=monitor.decode_health,
        refusal=monitor.CannotDecode,
    ),
    "an event record": _Case(
        sample=record.encode_records([_RECORD])[1:-1],
        decode=record.decode_line,
        refusal=msgspec.DecodeError,
    ),
    "a shard map": _Case(
        sample=_encode(
            {
                "pool": "p",
                "revision": 1,
                "shard_count": 2,
                "nodes": ["1.2.3.4:5"],
                "owners": [0, -1],
            }
        ),
        decode=lambda content: status.decode(content, status.ShardMap),
        refusal=msgspec.DecodeError,
    ),
    "the product's tables": _Case(
        sample=(_EXAMPLE / "tables.json").read_bytes(),
        decode=tables.read_tables,
        refusal=faults.CannotAccept,
    ),
    "the product's settings": _Case(
        sample=(_EXAMPLE / "settings" / "dispatch-1.json").read_bytes(),
        decode=_read_settings,
        refusal=faults.CannotAccept,
    ),
}


@behave.given("valid content of {name}")
def choose_case(context: runner.Context, name: str) -> None:
    context.case = _CASES[name]
    context.case.decode(context.case.sample)


@behave.then("{count:d} odd changes of it are decoded or refused as malformed")
def check_changes(context: runner.Context, count: int) -> None:
    case: _Case = context.case
    odd: Any = odd_content

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.one_of(
            odd.make_changed(case.sample, is_json=case.is_json),
            odd.make_damaged(case.sample),
        )
    )
    def check(content: bytes) -> None:
        try:
            case.decode(content)
        except case.refusal as refusal:
            assert not isinstance(refusal, AssertionError), refusal

    check()


@behave.then("the numbers in header fields may be {text}")
def check_numbers(context: runner.Context, text: str) -> None:
    del context
    number = b"9" * 5_000 if text == "5000 digits" else text.encode()
    id_field = (headers.REQUEST_ID, b"r1")
    for name in (headers.DEADLINE, headers.KEY):
        try:
            headers.read_request([id_field, (name, number)])
        except headers.CannotRead:
            continue
        raise AssertionError(f"{name!r} has been read")
    head = headers.read_response(
        [
            id_field,
            (headers.LIMIT, number),
            (b"keep-alive", b"timeout=" + number),
        ]
    )
    assert head.limit_per_s is None, head
    assert head.idle_timeout_s is None, head
    health = headers.read_health(
        [(headers.INSTANCE, b"i-1"), (headers.COLD, number)]
    )
    assert not health.server_id, health
    try:
        store.read_era([(store.ERA_FIELD, number)])
    except store.CannotDecode:
        return
    raise AssertionError("the era has been read")

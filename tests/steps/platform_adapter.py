"""Steps for the decoders and encoders of the platform adapter."""

from collections.abc import Callable
import copy
import json
import random
import time
from typing import Any

import behave
from behave import runner

from rhubarblead import routing_table
from rhubarblead.keyspace import holdings
from rhubarblead.platform import configuration
from rhubarblead.platform import headers
from rhubarblead.platform import heartbeats
from rhubarblead.platform import settings
from rhubarblead.platform import store
from rhubarblead.router import config_feed
from tests import platform_samples
from tests import router_doubles


def _split_fields(text: str) -> list[tuple[bytes, bytes]]:
    fields = []
    for part in text.split("; "):
        name, _, value = part.partition(": ")
        fields.append((name.encode(), value.encode()))
    return fields


@behave.when("the settings are decoded")
def decode_settings(context: runner.Context) -> None:
    context.deployment = settings.decode(
        json.dumps(platform_samples.SETTINGS).encode()
    )


@behave.when('the settings are decoded with "{field}" as {value}')
def decode_bad_settings(
    context: runner.Context, field: str, value: str
) -> None:
    _decode_changed(context, {field: json.loads(value)})


@behave.when("the settings are decoded with these fields changed")
def decode_several_bad_settings(context: runner.Context) -> None:
    _decode_changed(
        context,
        {row["field"]: json.loads(row["value"]) for row in context.table},
    )


def _decode_changed(context: runner.Context, changes: dict[str, Any]) -> None:
    try:
        settings.decode(
            json.dumps({**platform_samples.SETTINGS, **changes}).encode()
        )
        context.error = ""
    except settings.CannotLoad as error:
        context.error = str(error)


@behave.when("the settings are decoded with the limits {limits}")
def decode_limits(context: runner.Context, limits: str) -> None:
    changed = {**platform_samples.SETTINGS, "limits": json.loads(limits)}
    context.deployment = settings.decode(json.dumps(changed).encode())


@behave.then("the link's rate is {rate:d} bytes per ms")
def check_link_rate(context: runner.Context, rate: int) -> None:
    assert context.deployment.link_bytes_per_ms == rate


@behave.then('the settings are refused with "{words}"')
def check_refused_settings(context: runner.Context, words: str) -> None:
    assert words in context.error, context.error


@behave.then('the deployment\'s {field:w} is "{value}"')
def check_deployment(context: runner.Context, field: str, value: str) -> None:
    assert str(getattr(context.deployment, field)) == value


@behave.then("the bound {field:w} is {value:d}")
def check_bound(context: runner.Context, field: str, value: int) -> None:
    assert getattr(context.deployment.bounds, field) == value


@behave.when("the configuration is decoded")
def decode_configuration(context: runner.Context) -> None:
    document = platform_samples.make_configuration(
        platform_samples.make_routes()
    )
    context.routing = configuration.decode(json.dumps(document).encode())


@behave.when("the configuration is decoded with {fault}")
def decode_bad_configuration(context: runner.Context, fault: str) -> None:
    routes = platform_samples.make_routes()
    document = platform_samples.make_configuration(routes)
    match fault:
        case "an unknown service":
            routes[0][7] = "s9"
        case "a prefix without a final slash":
            routes[0][2] = "/a"
        case "no host":
            routes[0][1] = ""
        case "an unknown type":
            routes[0][3] = "perhaps"
        case "a short row":
            routes[0].pop()
        case "a version that is not a number":
            document["version"] = "twelve"
    content = json.dumps(document).encode()
    if fault == "truncated content":
        content = content[:-20]
    try:
        configuration.decode(content)
        context.is_refused = False
    except configuration.CannotDecode:
        context.is_refused = True


def _change_configuration(
    document: dict[str, Any], source: random.Random, number: int
) -> None:
    """Changes a route, a service, the order of columns or rows, or a fault."""
    routes = document["routes"]
    rows = routes["rows"]
    row = source.choice(rows)
    columns = routes["columns"]
    match source.randrange(7):
        case 0:
            row[columns.index("timeoutMs")] = source.randrange(100, 900)
        case 1:
            added = list(row)
            added[columns.index("name")] = f"r{number}"
            added[columns.index("prefix")] = f"/{number}/"
            rows.append(added)
        case 2:
            rows.pop(source.randrange(len(rows)))
        case 3:
            source.shuffle(rows)
        case 4:
            order = list(range(len(columns)))
            source.shuffle(order)
            routes["columns"] = [columns[i] for i in order]
            routes["rows"] = [[cells[i] for i in order] for cells in rows]
        case 5:
            document["services"]["rows"].reverse()
        case _:
            document["version"] = f"{number:08x}"


def _decode_or_refuse(
    decode: Callable[[bytes], routing_table.RoutingTable], content: bytes
) -> tuple[object, ...] | None:
    try:
        table = decode(content)
    except configuration.CannotDecode:
        return None
    return table.version, table.routes, table.services, table.limits


@behave.when(
    "{count:d} versions of {routes:d} routes are decoded, each changed at"
    " random from the last"
)
def decode_versions(context: runner.Context, count: int, routes: int) -> None:
    source = random.Random(11)
    rows = platform_samples.make_routes()
    rows += [
        [f"x{n}", "one.example", f"/x{n}/", *rows[0][3:]]
        for n in range(routes - len(rows))
    ]
    document = platform_samples.make_configuration(rows)
    decoder = configuration.Decoder()
    context.pairs = []
    for number in range(count):
        changed = copy.deepcopy(document)
        _change_configuration(changed, source, number)
        if number % 9 == 0:
            # This version is invalid; the next one follows a valid version.
            changed["services"]["rows"].pop()
        else:
            document = changed
        content = json.dumps(changed).encode()
        context.pairs.append(
            (
                _decode_or_refuse(decoder.decode, content),
                _decode_or_refuse(configuration.decode, content),
            )
        )


@behave.then(
    "each is as if it had been decoded alone, or refused as it would be"
)
def check_pairs(context: runner.Context) -> None:
    assert all(one == other for one, other in context.pairs)
    assert any(one is None for one, _ in context.pairs)
    assert sum(one is not None for one, _ in context.pairs) > 100


@behave.when(
    "changes with versions {versions}, {last:d} and an invalid one arrive"
)
def receive_versions(context: runner.Context, versions: str, last: int) -> None:
    contents = []
    for version in [*map(int, versions.split(", ")), last]:
        document = platform_samples.make_configuration(
            platform_samples.make_routes()
        )
        document["version"] = f"{version:08x}"
        contents.append(json.dumps(document).encode())
    contents.append(b"no configuration")
    context.applied = []
    unused: Any = None
    event_log: Any = router_doubles.SilentEventLog()
    feed = config_feed.ConfigFeed(
        client=unused,
        events=event_log,
        on_table=lambda table: context.applied.append(table.version),
        on_evacuated=lambda names, source: None,
        on_checked=lambda: None,
        on_read=lambda version: None,
        count_nodes=lambda: 1,
        random_source=random.Random(1),
    )
    feed._handle_outcome(
        store.Rows(
            rows=tuple(
                store.Row(
                    table=configuration.TABLE,
                    key=configuration.KEY,
                    value=content,
                    revision=number + 1,
                )
                for number, content in enumerate(contents)
            ),
            revision=len(contents),
            now_ms=0,
            has_more=False,
        ),
        time.monotonic(),
        is_complete=True,
    )


@behave.then("version {version:d} is in force, and it was applied once")
def check_applied(context: runner.Context, version: int) -> None:
    assert context.applied == [version], context.applied


@behave.then("the configuration is refused")
@behave.then("the heartbeat is refused")
def check_refused(context: runner.Context) -> None:
    assert context.is_refused


@behave.then("its version is {version:d}")
def check_version(context: runner.Context, version: int) -> None:
    assert context.routing.version == version


@behave.then('"GET {path}" at "{host}" goes to route "{name}"')
def check_route(
    context: runner.Context, path: str, host: str, name: str
) -> None:
    assert context.routing.find_route(host, path).name == name


@behave.then('"GET {path}" at "{host}" goes to no route')
def check_no_route(context: runner.Context, path: str, host: str) -> None:
    assert context.routing.find_route(host, path) is None


def _find(context: runner.Context, name: str) -> routing_table.Route:
    return next(r for r in context.routing.routes if r.name == name)


@behave.then('route "{name}" has shares "{shares}"')
def check_shares(context: runner.Context, name: str, shares: str) -> None:
    found = [f"{s.service}:{s.weight:g}" for s in _find(context, name).shares]
    assert " ".join(found) == shares


@behave.then('route "{name}" is {kind:w}')
def check_kind(context: runner.Context, name: str, kind: str) -> None:
    assert _find(context, name).kind.value == kind


@behave.then('service "{name}" is keyed')
def check_keyed(context: runner.Context, name: str) -> None:
    assert context.routing.is_keyed(name)


@behave.then('service "{name}" is not keyed')
def check_not_keyed(context: runner.Context, name: str) -> None:
    assert not context.routing.is_keyed(name)


@behave.when("the heartbeat is decoded")
def decode_heartbeat(context: runner.Context) -> None:
    content = json.dumps(platform_samples.HEARTBEAT).encode()
    context.heartbeat = heartbeats.decode(
        platform_samples.HEARTBEAT_TARGET, content
    )


@behave.when('the heartbeat is decoded with "{field}" as {value}')
def decode_invalid_heartbeat(
    context: runner.Context, field: str, value: str
) -> None:
    body = json.loads(json.dumps(platform_samples.HEARTBEAT))
    *parents, name = field.split(".")
    fields = body[parents[0]] if parents else body
    if value == "missing":
        del fields[name]
    else:
        fields[name] = json.loads(value)
    _try_decode(context, platform_samples.HEARTBEAT_TARGET, json.dumps(body))


@behave.then("the heartbeat is accepted")
def check_accepted(context: runner.Context) -> None:
    assert not context.is_refused


@behave.when("the heartbeat is decoded without ranges")
def decode_heartbeat_without_ranges(context: runner.Context) -> None:
    body = {
        k: v
        for k, v in platform_samples.HEARTBEAT.items()
        if k not in ("holds", "freed")
    }
    _try_decode(context, platform_samples.HEARTBEAT_TARGET, json.dumps(body))


def _try_decode(context: runner.Context, target: str, content: str) -> None:
    try:
        heartbeats.decode(target, content.encode())
        context.is_refused = False
    except heartbeats.CannotDecode:
        context.is_refused = True


@behave.when("the heartbeat is decoded with {fault}")
def decode_bad_heartbeat(context: runner.Context, fault: str) -> None:
    body = json.loads(json.dumps(platform_samples.HEARTBEAT))
    target = platform_samples.HEARTBEAT_TARGET
    match fault:
        case "no server":
            target = "/rpc?call=instances.heartbeat"
        case "no service":
            del body["information"]["service"]
        case "an unknown state":
            body["status"]["state"] = "dreaming"
        case "text as slots":
            body["information"]["slots"] = "nine"
        case "an incomplete range":
            body["holds"] = [[0]]
    content = json.dumps(body)
    if fault == "truncated content":
        content = content[:-9]
    _try_decode(context, target, content)


@behave.then(
    'it is of server "{server_id}" with {slots:d} slots and sequence'
    " {sequence:d}"
)
def check_heartbeat(
    context: runner.Context, server_id: str, slots: int, sequence: int
) -> None:
    heartbeat = context.heartbeat
    assert (heartbeat.server_id, heartbeat.slots, heartbeat.sequence) == (
        server_id,
        slots,
        sequence,
    )


@behave.then("it holds {first:d}-{last:d} with fence {fence:d}")
def check_holds(
    context: runner.Context, first: int, last: int, fence: int
) -> None:
    grant = heartbeats.Grant(first=first, last=last, fence=fence)
    assert context.heartbeat.held == (grant,)


@behave.then('it has freed {first:d}-{last:d} with token "{token}"')
def check_freed(
    context: runner.Context, first: int, last: int, token: str
) -> None:
    freed = heartbeats.FreedRange(first=first, last=last, handover=token)
    assert context.heartbeat.freed == (freed,)


@behave.then(
    "the answer with {count:d} grants, {new:d} of them new, has at most"
    " {most:d} bytes"
)
def check_reply(
    context: runner.Context, count: int, new: int, most: int
) -> None:
    del context
    assert (count, new) == (holdings.MAX_GRANTED_RANGES, holdings.MAX_TOKENS)
    grants = tuple(
        heartbeats.Grant(
            first=60_000 + number,
            last=60_000 + number,
            fence=100_000,
            handover="f" * 16 if number < new else "",
        )
        for number in range(count)
    )
    address = settings.Address(ip="255.255.255.255", port=settings.MAX_PORT)
    reply = heartbeats.encode_reply(grants, 10_000, address)
    assert str(address).encode() in reply
    assert len(reply) <= most


@behave.then("a write answered with {status:d} and '{body}' is {outcome:w}")
def check_write(
    context: runner.Context, status: int, body: str, outcome: str
) -> None:
    del context
    found = store.decode_write(status, body.encode())
    assert type(found).__name__ == outcome, found


@behave.then("a write answered with {status:d} and '' is {outcome:w}")
def check_empty_write(
    context: runner.Context, status: int, outcome: str
) -> None:
    check_write(context, status, "", outcome)


@behave.when('a request has the fields "{fields}"')
def read_request(context: runner.Context, fields: str) -> None:
    try:
        context.head = headers.read_request(_split_fields(fields))
    except headers.CannotRead:
        context.head = None


@behave.then("the request is refused")
def check_request_refused(context: runner.Context) -> None:
    assert context.head is None


@behave.then("it is {request_id:w} at {host} with {deadline:d} ms, no key")
def check_request(
    context: runner.Context, request_id: str, host: str, deadline: int
) -> None:
    assert context.head == headers.RequestHead(
        request_id=request_id, host=host, deadline_ms=deadline, key=None
    )


@behave.then("it is {request_id:w} at {host} with {deadline:d} ms, key {key:d}")
def check_keyed_request(
    context: runner.Context, request_id: str, host: str, deadline: int, key: int
) -> None:
    assert context.head == headers.RequestHead(
        request_id=request_id, host=host, deadline_ms=deadline, key=key
    )


@behave.when('the fields "{fields}" are forwarded for service "{service}"')
def forward(context: runner.Context, fields: str, service: str) -> None:
    context.forwarded = headers.encode_forwarded(_split_fields(fields), service)


@behave.then('the forwarded fields are "{fields}"')
def check_forwarded(context: runner.Context, fields: str) -> None:
    expected = "".join(f"{part}\r\n" for part in fields.split("; "))
    assert context.forwarded == expected.encode(), context.forwarded


@behave.when('a response to a probe has the fields "{fields}"')
def read_probe_response(context: runner.Context, fields: str) -> None:
    pairs = (item.partition("=") for item in fields.split(";"))
    context.health = headers.read_health(
        (name.encode(), value.encode()) for name, _, value in pairs
    )


@behave.then('it names server "{server}", which stays cold for {cold:d} ms')
def check_probe_response(
    context: runner.Context, server: str, cold: int
) -> None:
    assert context.health.server_id == server, context.health
    assert context.health.cold_remaining_ms == cold, context.health


@behave.then('it names server "", which stays cold for {cold:d} ms')
def check_probe_of_none(context: runner.Context, cold: int) -> None:
    check_probe_response(context, "", cold)

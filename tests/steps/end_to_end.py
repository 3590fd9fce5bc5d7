"""Steps that send requests to a deployment of real processes."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses
import random
import time

import behave
from behave import runner

from rhubarblead import tables
from tools import deployment
from tools import http_json
from tools import launch
from tools import records
from tools.load import caller
from tools.load import plan as plans

_SERVERS = ("entries-1", "entries-2", "entries-3", "library-1", "library-2")
_DOMAINS = 3
_SERVED_TIMEOUT_S = 30.0
_POLL_S = 0.05
_UUID4 = "0b0b8b1e-5d0f-4c3a-9d3e-1d1f5c1f4a10"


def _disable_cold_start(read: tables.Tables) -> tables.Tables:
    """Sets the cold-start time of all pools to 0."""
    pools = [p.model_copy(update={"cold_start_ms": 0}) for p in read.pools]
    return read.model_copy(update={"pools": tuple(pools)})


def _find_pool(context: runner.Context, kind: str) -> tables.Pool:
    return context.launcher.deployment.find_pool(kind)


def _find_prefix(context: runner.Context, kind: str) -> str:
    pool = _find_pool(context, kind)
    return context.launcher.deployment.find_route(pool.name).prefix


def _list_owners(context: runner.Context) -> list[str]:
    pool = _find_pool(context, "keyed").name
    return context.launcher.read_owners(_find_running(context), pool)


def _find_running(context: runner.Context) -> str:
    nodes = context.launcher.nodes
    return next(name for name in nodes if nodes[name].is_running())


def _send(
    context: runner.Context,
    node: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> http_json.Answer:
    return http_json.exchange(
        context.launcher.find_authority(node),
        method,
        target,
        headers=headers or {},
        body=body,
    )


@behave.given("a running deployment of 3 keyed and 2 balanced servers")
def given_deployment(context: runner.Context) -> None:
    """Starts the deployment in the first scenario; the others share it."""
    if not hasattr(context.feature, "launcher"):
        described = deployment.select_instances(
            deployment.read_deployment(deployment.EXAMPLES / "federation"),
            _SERVERS,
        )
        described = dataclasses.replace(
            described,
            operators_tables=_disable_cold_start(described.operators_tables),
        )
        domains = {item.failure_domain for item in described.instances}
        assert len(domains) == _DOMAINS
        stack = contextlib.ExitStack()
        context.add_cleanup(stack.close, layer="feature")
        launcher = stack.enter_context(launch.Launcher(spec=described))
        launcher.start()
        context.feature.launcher = launcher
    context.launcher = context.feature.launcher


@behave.when("callers send a keyed {method} for {count:d} keys to every node")
def get_keyed(context: runner.Context, method: str, count: int) -> None:
    prefix = _find_prefix(context, "keyed")
    context.keys = [f"band-{number}" for number in range(count)]
    context.answers = [
        (key, _send(context, node, method, f"{prefix}/{key}/draw"))
        for key in context.keys
        for node in context.launcher.nodes
    ]


@behave.then('every response of the nodes is 200 and "ran"')
def check_ran(context: runner.Context) -> None:
    for _, answer in context.answers:
        verdict = answer.headers.get("rhubarb-verdict")
        assert (answer.status, verdict) == (200, "ran"), answer


@behave.then("only the owner of a key responds to its requests")
def check_owner(context: runner.Context) -> None:
    owners = _list_owners(context)
    for key, answer in context.answers:
        shard = plans.find_shard(key, _find_pool(context, "keyed").shard_count)
        assert answer.headers["rhubarb-server"] == owners[shard], answer
        authority = context.launcher.find_authority(owners[shard])
        assert answer.headers["rhubarb-owner"] == authority, answer
    used = {answer.headers["rhubarb-server"] for _, answer in context.answers}
    assert len(used) > 1


@behave.when("a caller sends one keyed POST to every node in turn")
def post_keyed(context: runner.Context) -> None:
    prefix = _find_prefix(context, "keyed")
    context.idempotency_key = caller.make_uuid7(random.Random())
    context.answers = [
        (
            "band-1",
            _send(
                context,
                node,
                "POST",
                f"{prefix}/band-1/fees",
                {"Idempotency-Key": context.idempotency_key},
                b"a fee",
            ),
        )
        for node in context.launcher.nodes
    ]
    assert len({answer.body for _, answer in context.answers}) == 1


@behave.then("the upstreams have committed the POST once")
def check_once(context: runner.Context) -> None:
    runs = records.read_records(
        context.launcher.list_record_paths(), records.Run
    )
    committed = [
        run
        for run in runs
        if run.is_committed and run.idempotency_key == context.idempotency_key
    ]
    assert len(committed) == 1, committed


@behave.when("callers send {count:d} concurrent balanced GETs to every node")
def get_balanced(context: runner.Context, count: int) -> None:
    prefix = _find_prefix(context, "balanced")
    # Sequential requests may all go to the faster server. With this many
    # concurrent ones, more than one server is chosen.
    headers = {"Standin-Service-Ms": "100"}
    context.answers = []
    with futures.ThreadPoolExecutor(count) as executor:
        for node in context.launcher.nodes:
            sent = [
                executor.submit(
                    _send, context, node, "GET", f"{prefix}/{n}", headers
                )
                for n in range(count)
            ]
            context.answers.extend(("", item.result()) for item in sent)


@behave.then("each balanced server has responded, and no other server")
def check_balanced(context: runner.Context) -> None:
    pool = _find_pool(context, "balanced").name
    used = {answer.headers["rhubarb-server"] for _, answer in context.answers}
    assert used == set(context.launcher.deployment.list_servers(pool)), used


@behave.when("a caller sends a wrong request to a node, {wrong}")
def send_wrong(context: runner.Context, wrong: str) -> None:
    prefix = _find_prefix(context, "keyed")
    pool = _find_pool(context, "keyed").name
    route = context.launcher.deployment.find_route(pool)
    target = f"{prefix}/band-1/fees"
    good = {"Idempotency-Key": caller.make_uuid7(random.Random())}
    large = b"." * (route.max_request_bytes + 1)
    requests: dict[str, tuple[str, str, dict[str, str], bytes | None]] = {
        "to an unknown route": ("GET", "/nowhere", {}, None),
        "without a key": ("GET", prefix, {}, None),
        "without an idempotency key": ("POST", target, {}, b"a fee"),
        "with another idempotency key": (
            "POST",
            target,
            {"Idempotency-Key": _UUID4},
            b"a fee",
        ),
        "that is too large": ("POST", target, good, large),
        "that is malformed": ("GET", target, {"Content-Length": "many"}, None),
    }
    node = next(iter(context.launcher.nodes))
    context.answer = _send(context, node, *requests[wrong])


@behave.then('the response of the node is {status:d} "{refusal}" and not run')
def check_refusal(context: runner.Context, status: int, refusal: str) -> None:
    answer = context.answer
    assert answer.status == status, answer
    assert answer.headers.get("rhubarb-refusal") == refusal, answer
    assert answer.headers.get("rhubarb-verdict") == "not-run", answer


@behave.when("a keyed server and its node are killed")
def kill_server(context: runner.Context) -> None:
    context.owners = _list_owners(context)
    context.killed = context.owners[0]
    context.launcher.nodes[context.killed].kill()
    context.launcher.upstreams[context.killed].kill()


def _list_killed_keys(context: runner.Context) -> Iterator[str]:
    count = _find_pool(context, "keyed").shard_count
    keys = plans.list_even_keys(count, 1)
    for key, owner in zip(keys, context.owners, strict=True):
        if owner == context.killed:
            yield key


@behave.then("other servers serve the keys of the killed server")
def check_served(context: runner.Context) -> None:
    prefix = _find_prefix(context, "keyed")
    entry = _find_running(context)
    deadline_s = time.monotonic() + _SERVED_TIMEOUT_S
    waiting = list(_list_killed_keys(context))
    assert waiting
    while waiting:
        assert time.monotonic() < deadline_s, f"not served: {waiting}"
        answer = _send(context, entry, "GET", f"{prefix}/{waiting[0]}/draw")
        if answer.status != 200:
            time.sleep(_POLL_S)
            continue
        assert answer.headers["rhubarb-server"] != context.killed
        waiting.pop(0)

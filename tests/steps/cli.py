"""Steps for the operator commands, with stand-ins for nodes."""

import contextlib
import dataclasses
import http.server
import io
import json
import os
import pathlib
import tempfile
import threading
import urllib.parse

import behave
from behave import runner
import msgspec

from rhubarblead import __main__ as program
from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import status
from rhubarblead.events import catalog
from rhubarblead.events import filters
from rhubarblead.events import log
from rhubarblead.events import record
from rhubarblead.tablestore import ownership_log
from tests import platform_calls


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeStandIn:
    """A stand-in for the admin endpoints of a node."""

    status: status.Status
    events: log.EventLog
    members: status.Members | None = None
    fault: str = "no fault"
    status_query_count: int = 0
    drained_count: int = 0

    def answer(self, path: str) -> tuple[int, bytes]:
        """Responds to one request with a status code and a body."""
        if self.fault == "bad response":
            return 200, b"{"
        parts = urllib.parse.urlsplit(path)
        match parts.path:
            case "/-/members":
                assert self.members is not None
                return 200, status.encode(self.members)
            case "/-/status":
                return 200, status.encode(self._find_status())
            case "/-/owner":
                return _answer_owner(parts.query)
            case "/-/timeline":
                wanted = filters.read_filter(parts.query).unwrap()
                return 200, record.encode_records(
                    self.events.list_events(wanted)
                )
        return 404, b'{"explanation": "no such path"}'

    def _find_status(self) -> status.Status:
        self.status_query_count += 1
        is_lagging = (
            self.status_query_count == 1 or self.fault != "slow catch-up"
        )
        match self.fault:
            case "older tables" | "slow catch-up" if is_lagging:
                return msgspec.structs.replace(self.status, tables_revision=6)
            case "older ownership":
                return msgspec.structs.replace(
                    self.status, ownership_revision=1
                )
            case "no lease":
                return msgspec.structs.replace(self.status, lease_left_ms=0)
        return self.status


def _answer_owner(query: str) -> tuple[int, bytes]:
    asked = dict(urllib.parse.parse_qsl(query))
    if asked["pool"] != "p":
        return 404, b'{"explanation": "no pool is named \'q\'"}'
    found = status.OwnerView(
        pool="p",
        key=asked["key"],
        shard=4,
        owner="a",
        authority="127.0.0.1:1",
        fence=12,
        ownership_revision=40,
        why=f"{asked['key']} is hashed to shard 4",
    )
    return 200, status.encode(found)


def _serve(context: runner.Context, node: NodeStandIn) -> int:
    class Handler(http.server.BaseHTTPRequestHandler):

        def do_GET(self) -> None:  # noqa: N802
            if node.fault == "no response":
                self.close_connection = True
                return
            code, body = node.answer(self.path)
            self._send(code, body)

        def do_POST(self) -> None:  # noqa: N802
            node.drained_count += 1
            self._send(204, b"")

        def _send(self, code: int, body: bytes) -> None:
            self.send_response(code)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: object) -> None:
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(
        target=server.serve_forever, kwargs={"poll_interval": 0.01}
    )
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    return server.server_address[1]


@behave.given("the admin nodes")
def given_nodes(context: runner.Context) -> None:
    context.nodes = {}
    views = []
    for row in context.table:
        name = row["name"]
        found = status.Status(
            member_id=f"{name}-1",
            instance=name,
            failure_domain="ipoh",
            region="my-central",
            pool="p",
            state=row["state"],
            lease_left_ms=int(row["lease_ms"]),
            granters=(status.GranterView(member_id="b-1", promise_age_ms=20),),
            ownership_revision=int(row["ownership"]),
            tables_revision=int(row["tables"]),
        )
        events = log.EventLog(instance=name, timeline_capacity=100)
        _emit_events(events)
        node = NodeStandIn(status=found, events=events)
        context.nodes[name] = node
        views.append(_make_view(found, _serve(context, node)))
    members = status.Members(ownership_revision=40, members=tuple(views))
    for node in context.nodes.values():
        node.members = members
    context.authority = f"127.0.0.1:{views[0].http_port}"


def _emit_events(events: log.EventLog) -> None:
    events.emit(catalog.Event.NODE_STARTED)
    if events.list_events()[0].instance == "a":
        events.emit(
            catalog.Event.SHARDS_GAINED, pool="p", shards="0-7", revision=12
        )
        events.emit(catalog.Event.REQUEST_STARTED, request_id="r1")


def _make_view(found: status.Status, port: int) -> status.MemberView:
    return status.MemberView(
        member_id=found.member_id,
        instance=found.instance,
        failure_domain=found.failure_domain,
        region=found.region,
        pool=found.pool,
        ip_address="127.0.0.1",
        http_port=port,
    )


@behave.given("the platform lists the admin nodes as members")
def given_members(context: runner.Context) -> None:
    table_store = platform_calls.make_store(context, instance="a")
    events = ownership_log.OwnershipLog(store=table_store, author="a")
    state = ownership.State()
    for view in context.nodes["a"].members.members:
        member = membership.Member(
            member_id=view.member_id,
            instance=view.instance,
            incarnation="1",
            failure_domain=view.failure_domain,
            region=view.region,
            pool=view.pool,
            ip_address=view.ip_address,
            http_port=view.http_port,
            data_port=1,
            control_port=1,
        )
        change = membership.MemberJoined(member=member)
        events.append(
            state=state, changes=(change,), write_id=view.member_id
        ).unwrap()
        state = events.read(state=state).unwrap().state


@behave.given('the admin node "{name}" has {fault}')
def given_fault(context: runner.Context, name: str, fault: str) -> None:
    context.nodes[name].fault = fault


@behave.given('the file "{name}" with {{{rest}')
def given_file(context: runner.Context, name: str, rest: str) -> None:
    _find_folder(context).joinpath(name).write_text("{" + rest)


@behave.given('the file "{name}" with the router log')
def given_router_log(context: runner.Context, name: str) -> None:
    _find_folder(context).joinpath(name).write_text(context.text)


@behave.given(
    'the file "{name}" with a log of instance "{instance}" and a'
    " malformed line"
)
def given_log(context: runner.Context, name: str, instance: str) -> None:
    events = log.EventLog(instance=instance, timeline_capacity=10)
    events.emit(catalog.Event.NODE_STARTED)
    lines = [json.dumps(msgspec.to_builtins(e)) for e in events.list_events()]
    path = _find_folder(context).joinpath(name)
    path.write_text("\n".join([*lines, "Killed"]))


def _find_folder(context: runner.Context) -> pathlib.Path:
    if "folder" not in context:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = pathlib.Path(folder.name)
    return context.folder


@behave.when('the command "{command}" is run')
def run(context: runner.Context, command: str) -> None:
    platform = f"127.0.0.1:{getattr(context, 'platform_port', 1)}"
    command = command.replace("PLATFORM", platform)
    words = command.replace("NODE", context.authority).split()
    printed = io.StringIO()
    previous_folder = os.getcwd()
    os.chdir(_find_folder(context))
    with (
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(printed),
    ):
        try:
            context.code = program.main(words)
        except SystemExit as error:
            context.code = error.code
        finally:
            os.chdir(previous_folder)
    context.printed = printed.getvalue()


@behave.then("the command's exit code is {code:d}")
def check_code(context: runner.Context, code: int) -> None:
    assert context.code == code, (context.code, context.printed)


@behave.then('the command printed "{text}"')
def check_printed(context: runner.Context, text: str) -> None:
    assert text in context.printed, context.printed
    assert "Traceback" not in context.printed


@behave.then("each admin node was drained once")
def check_all_drained(context: runner.Context) -> None:
    counts = [node.drained_count for node in context.nodes.values()]
    assert counts == [1] * len(counts), counts


@behave.then("no admin node was drained")
def check_drained(context: runner.Context) -> None:
    assert not any(node.drained_count for node in context.nodes.values())

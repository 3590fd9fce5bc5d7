"""Steps for the table commands, with stand-ins for nodes."""

import contextlib
import http.server
import io
import json
import os
import pathlib
import tempfile
import threading

import behave
from behave import runner

from rhubarblead import __main__ as program
from rhubarblead import membership
from rhubarblead import ownership
from rhubarblead import status
from rhubarblead.tablestore import ownership_log
from tests import platform_calls

_INSTANCE = "n-1"


def _serve_status(context: runner.Context, revisions: list[int]) -> int:
    """Serves a status with each revision in turn, then with the last one.

    Without revisions, nothing listens on the returned port.
    """

    class Handler(http.server.BaseHTTPRequestHandler):

        def do_GET(self) -> None:  # noqa: N802
            revision = revisions.pop(0) if len(revisions) > 1 else revisions[0]
            body = status.encode(_make_status(revision))
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: object) -> None:
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    if not revisions:
        server.server_close()
        return int(server.server_address[1])
    thread = threading.Thread(
        target=server.serve_forever, kwargs={"poll_interval": 0.01}
    )
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    return int(server.server_address[1])


def _make_status(revision: int) -> status.Status:
    return status.Status(
        member_id="m",
        instance=_INSTANCE,
        failure_domain="ipoh",
        region="my-central",
        pool="p",
        state="serving",
        lease_left_ms=1,
        tables_revision=revision,
    )


def _append_change(context: runner.Context, change: membership.Change) -> None:
    table_store = platform_calls.make_store(context, instance="a")
    log = ownership_log.OwnershipLog(store=table_store, author="a")
    written = log.append(
        state=ownership.State(), changes=(change,), write_id="w"
    )
    assert written.is_ok(), written


def _run(context: runner.Context, command: str) -> None:
    words = f"tables {command} --platform 127.0.0.1:{context.platform_port}"
    printed = io.StringIO()
    previous_folder = os.getcwd()
    os.chdir(context.tables_folder)
    with (
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(printed),
    ):
        try:
            context.code = int(program.main(words.split()))
        except SystemExit as error:
            context.code = error.code
        finally:
            os.chdir(previous_folder)
    context.printed = printed.getvalue()


@behave.given(
    'the operator\'s file "{name}" with pool "{pool}" of {shard_count:d} shards'
    " and {slots:d} slots"
)
def given_file(
    context: runner.Context, name: str, pool: str, shard_count: int, slots: int
) -> None:
    if "tables_folder" not in context:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.tables_folder = folder.name
    record = {
        "name": pool,
        "kind": "keyed",
        "servers": ["p-*"],
        "shard_count": shard_count,
        "slots": slots,
    }
    path = pathlib.Path(context.tables_folder, name)
    path.write_text(json.dumps({"pools": [record]}))


@behave.given('the operator "{author}" has applied "{name}" at revision {at:d}')
def given_applied(
    context: runner.Context, author: str, name: str, at: int
) -> None:
    _run(
        context,
        f"apply {name} --author {author} --comment c --expected-revision {at}",
    )
    assert context.code == 0, context.printed


@behave.given("nodes that are {kind}")
def given_nodes(context: runner.Context, kind: str) -> None:
    revisions = {
        "up to date": [2],
        "delayed": [1, 2],
        "lagging": [1],
        "unreachable": [],
    }
    if kind not in revisions:
        return
    context.node_port = _serve_status(context, revisions[kind])
    member = membership.Member(
        member_id="m",
        instance=_INSTANCE,
        incarnation="i",
        failure_domain="ipoh",
        region="my-central",
        pool="p",
        ip_address="127.0.0.1",
        http_port=context.node_port,
        data_port=1,
        control_port=1,
    )
    _append_change(context, membership.MemberJoined(member=member))


@behave.given('the shards of pool "{pool}" are recorded as {count:d}')
def given_shards(context: runner.Context, pool: str, count: int) -> None:
    _append_change(
        context, membership.PoolSharded(pool=pool, shard_count=count)
    )


@behave.when('the tables command "{command}" is run')
def run(context: runner.Context, command: str) -> None:
    _run(context, command)


@behave.then('the tables command exits with {code:d} and prints "{text}"')
def check(context: runner.Context, code: int, text: str) -> None:
    expected = text.replace("NODE", str(getattr(context, "node_port", "")))
    assert context.code == code, (context.code, context.printed)
    assert expected in context.printed, context.printed
    assert "Traceback" not in context.printed

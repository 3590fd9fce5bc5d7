"""Steps for the load tool, its measurements and the report."""

import collections
import http.client
import http.server
import pathlib
import tempfile
import threading
import time

import behave
from behave import runner
import msgspec

from tools import faults
from tools import records
from tools import report
from tools.load import caller
from tools.load import measure
from tools.load import plan as plans

_NS_PER_MS = 1_000_000
_SHARDS = 64
_CLOSE_TIMEOUT_S = 2.0
_POLL_S = 0.02


def make_plan(rate: float, seconds: float, *, is_regular: bool) -> plans.Plan:
    workload = plans.Workload(
        method="GET",
        pool="p",
        prefix="/p",
        shard_count=_SHARDS,
        weight=1,
        nodes=(),
    )
    return plans.Plan(
        seed=1,
        caller=0,
        start_ns=0,
        seconds=seconds,
        rate_per_s=rate,
        threads=1,
        entry=plans.Entry.BLIND,
        nodes=(),
        works=(workload,),
        keys=plans.KeyDistribution(
            names=plans.list_even_keys(_SHARDS, 1),
            zipf_exponent=0.0,
            hot_count=0,
            hot_share=0.0,
        ),
        answer_bytes=0,
        body_bytes=0,
        service_ms=0,
        timeout_ms=0,
        resend_count=0,
        is_regular=is_regular,
        log_path="",
    )


def make_outcome(
    *, end_ms: int = 0, status: int = 200, verdict: str = "ran", fault: str = ""
) -> records.Outcome:
    return records.Outcome(
        node="n",
        pool="p",
        method="GET",
        key="k",
        shard=0,
        idempotency_key="",
        request_id="r",
        attempt=1,
        intended_ns=0,
        sent_ns=0,
        end_ns=end_ms * _NS_PER_MS,
        status=status,
        verdict=verdict,
        refusal="",
        server="s",
        fault=fault,
        body_bytes=0,
    )


@behave.given(
    "a {kind} load plan of {rate:d} requests per second for {seconds:d} s"
)
def given_plan(
    context: runner.Context, rate: int, seconds: int, kind: str
) -> None:
    context.plan = make_plan(rate, seconds, is_regular=kind == "regular")


@behave.given(
    "the load plan sends {share:g} of the requests to {count:d} hot key"
)
def given_hot_keys(context: runner.Context, share: float, count: int) -> None:
    keys = msgspec.structs.replace(
        context.plan.keys, hot_share=share, hot_count=count
    )
    context.plan = msgspec.structs.replace(context.plan, keys=keys)


@behave.when("the requests of the load plan are generated twice")
def generate_arrivals(context: runner.Context) -> None:
    context.arrivals = list(plans.list_arrivals(context.plan))
    context.second_arrivals = list(plans.list_arrivals(context.plan))


@behave.then("the load plan has generated the same requests both times")
def check_same(context: runner.Context) -> None:
    assert context.arrivals == context.second_arrivals


@behave.then(
    "the load plan has generated {rate:d} requests per second"
    " within {percent:d} percent"
)
def check_rate(context: runner.Context, rate: int, percent: int) -> None:
    wanted = rate * context.plan.seconds
    assert abs(len(context.arrivals) - wanted) <= wanted * percent / 100


@behave.then(
    "the load plan has requested each of {shards:d} shards {times:d} times,"
    " or once less"
)
def check_even(context: runner.Context, shards: int, times: int) -> None:
    counts = collections.Counter(
        plans.find_shard(item.key, shards) for item in context.arrivals
    )
    assert len(counts) == shards
    assert set(counts.values()) <= {times, times - 1}, counts


@behave.then(
    "the load plan has sent {low:g} to {high:g} of the requests to one key"
)
def check_hot(context: runner.Context, low: float, high: float) -> None:
    counts = collections.Counter(item.key for item in context.arrivals)
    share = max(counts.values()) / len(context.arrivals)
    assert low <= share <= high, share


@behave.given('correct answers of a shard at "{times}" ms')
def given_correct_answers(context: runner.Context, times: str) -> None:
    context.outcomes = [
        make_outcome(end_ms=int(text)) for text in times.split()
    ]


@behave.given('correct answers of a shard at "" ms')
def given_no_answers(context: runner.Context) -> None:
    context.outcomes = []


@behave.when("the gaps from {start:d} ms to {end:d} ms are measured")
def measure_gaps(context: runner.Context, start: int, end: int) -> None:
    context.gaps = measure.find_gaps(
        context.outcomes,
        pool="p",
        shards=[0],
        start_ns=start * _NS_PER_MS,
        end_ns=end * _NS_PER_MS,
    )


@behave.then("the longest gap is {gap:d} ms")
def check_gap(context: runner.Context, gap: int) -> None:
    assert context.gaps == {0: gap}, context.gaps


@behave.when("the rate of a load of {seconds:d} s is computed")
def find_rate(context: runner.Context, seconds: int) -> None:
    context.rate = measure.find_rate(context.outcomes, 0, seconds)


@behave.then("the rate is {rate:g} correct answers per second")
def check_found_rate(context: runner.Context, rate: float) -> None:
    assert context.rate == rate, context.rate


@behave.given(
    'a send with status {status:d}, verdict "{verdict}" and fault "{fault}"'
)
@behave.given('a send with status {status:d}, verdict "{verdict}" and fault ""')
@behave.given('a send with status {status:d}, verdict "" and fault "{fault}"')
def given_outcome(
    context: runner.Context, status: int, verdict: str = "", fault: str = ""
) -> None:
    context.outcomes = [
        make_outcome(status=status, verdict=verdict, fault=fault)
    ]


@behave.when("the sends that were cut off are counted")
def count_cut_off(context: runner.Context) -> None:
    context.cut_off = faults.count_cut_off(context.outcomes, 0)


@behave.then("{count:d} send counts as cut off")
def check_cut_off(context: runner.Context, count: int) -> None:
    assert context.cut_off == count


def make_load_result() -> measure.Result:
    outcomes = [make_outcome(end_ms=number) for number in range(1, 50)]
    latency = measure.measure_latency(outcomes)
    return measure.Result(
        parameters=measure.Parameters(deployment="d", rate_per_s=1, seconds=1),
        revision="r",
        processor_count=1,
        sent_count=49,
        request_count=49,
        correct_count=49,
        asked_per_s=1,
        reached_per_s=1,
        latency=latency,
        latency_by_work={"GET p": latency},
        count_by_status={"200": 49},
        count_by_refusal={},
        count_by_verdict={"ran": 49},
        count_by_fault={},
        answer_body_bytes=0,
        usage_by_role={
            "node": measure.RoleUsage(
                process_count=1,
                cpu_s=1,
                cpu_us_per_request=1,
                max_resident_bytes=1,
            )
        },
        platform_per_s={},
        load_by_pool=measure.measure_pools(outcomes, {"p": ["s", "t"]}),
    )


@behave.given("two results of a {kind} run")
def given_results(context: runner.Context, kind: str) -> None:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.folder = pathlib.Path(temporary.name)
    made = (
        make_load_result()
        if kind == "load"
        else [faults.make_report("kill-node", "d", [])]
    )
    context.path = context.folder / "result.json"
    context.path.write_bytes(msgspec.json.encode(made))


@behave.when("the report of both results is written")
def write_report(context: runner.Context) -> None:
    path = str(context.path)
    assert report.report(path, path, out=str(context.folder)) == 0


@behave.then('the report shows "{text}" and the plots "{plots}"')
def check_report(context: runner.Context, text: str, plots: str) -> None:
    assert text in (context.folder / "README.md").read_text(encoding="utf-8")
    for name in plots.split():
        assert (context.folder / name).stat().st_size > 0


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers requests, and closes the connection as the test says."""

    protocol_version = "HTTP/1.1"
    how = ""

    def do_GET(self) -> None:  # noqa: N802
        """Answers a request."""
        self.send_response(http.HTTPStatus.OK)
        self.send_header("Content-Length", "0")
        if self.how == "says that the answer is the last":
            self.send_header("Connection", "close")
        self.end_headers()
        self.close_connection = self.how != "keeps it after an answer"

    def log_message(self, *_: object) -> None:
        """Logs nothing."""


@behave.given("a caller's connection whose peer {how}")
def open_caller_connection(context: runner.Context, how: str) -> None:
    handler = type("_Chosen", (_Handler,), {"how": how})
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.connection = http.client.HTTPConnection(
        "127.0.0.1", server.server_address[1], timeout=5.0
    )
    context.add_cleanup(context.connection.close)
    context.connection.request("GET", "/")
    context.connection.getresponse().read()


@behave.then("its connection counts as {state:w}")
def check_connection(context: runner.Context, state: str) -> None:
    wanted = state == "closed"
    deadline_s = time.monotonic() + _CLOSE_TIMEOUT_S
    while caller.is_closed_by_peer(context.connection) != wanted:
        assert time.monotonic() < deadline_s
        time.sleep(_POLL_S)

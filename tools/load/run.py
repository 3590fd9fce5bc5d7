"""Runs caller processes against a started deployment."""

from collections.abc import Callable
import contextlib
import dataclasses
import os
import pathlib
import subprocess
import tempfile
import time

import msgspec

from rhubarblead import tables
from tools import launch
from tools import processes
from tools import records
from tools.load import measure
from tools.load import plan as plans

_NS_PER_S = 1_000_000_000
_US_PER_S = 1_000_000
_START_DELAY_S = 1.5
_END_TIMEOUT_S = 60.0
_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """A result, and the records from which it was computed."""

    result: measure.Result
    outcomes: list[records.Outcome]
    runs: list[records.Run]
    start_ns: int


def run_load(
    launcher: launch.Launcher,
    parameters: measure.Parameters,
    *,
    during: Callable[[int], None] | None = None,
) -> Measurement:
    """Runs callers and waits until they have exited.

    Args:
        launcher: A started deployment.
        parameters: The parameters of the load.
        during: Called in this thread with the start of the load, on the
            monotonic clock in ns, while the callers run.

    Returns:
        The result and its records.

    Raises:
        processes.CannotStart: A caller failed or did not exit in time.
    """
    start_ns = time.monotonic_ns() + int(_START_DELAY_S * _NS_PER_S)
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix="load-", dir=launcher.folder)
        )
        plan_list = _make_plans(launcher, parameters, start_ns, folder)
        callers = [_start_caller(stack, plan, folder) for plan in plan_list]
        _sleep_until(start_ns)
        before = _read_usages(launcher)
        counts_before = launcher.read_platform_counts()
        if during is not None:
            during(start_ns)
        _sleep_until(start_ns + int(parameters.seconds * _NS_PER_S))
        for caller in callers:
            _wait_for(caller)
        after = _read_usages(launcher)
        counts_after = launcher.read_platform_counts()
        outcomes = records.read_records(
            [pathlib.Path(plan.log_path) for plan in plan_list],
            records.Outcome,
        )
    runs = records.read_records(launcher.list_record_paths(), records.Run)
    return Measurement(
        result=msgspec.structs.replace(
            _compute_result(
                launcher, parameters, start_ns, outcomes, before, after
            ),
            platform_per_s={
                name: round(
                    (counts_after[name] - counts_before[name])
                    / parameters.seconds,
                    2,
                )
                for name in counts_after
            },
        ),
        outcomes=outcomes,
        runs=runs,
        start_ns=start_ns,
    )


def read_revision() -> str:
    """Reads the Git revision of this source tree, marked if modified."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty", "--abbrev=12"],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip() or "unknown"


def _make_plans(
    launcher: launch.Launcher,
    parameters: measure.Parameters,
    start_ns: int,
    folder: pathlib.Path,
) -> list[plans.Plan]:
    count = parameters.caller_count
    return [
        plans.Plan(
            seed=parameters.seed,
            caller=number,
            start_ns=start_ns,
            seconds=parameters.seconds,
            rate_per_s=parameters.rate_per_s / count,
            threads=parameters.thread_count,
            entry=plans.Entry(parameters.entry),
            nodes=tuple(launcher.list_authorities()),
            works=_list_workloads(launcher, parameters),
            keys=_make_key_distribution(launcher, parameters),
            answer_bytes=parameters.answer_bytes,
            body_bytes=parameters.body_bytes,
            service_ms=parameters.service_ms,
            timeout_ms=parameters.timeout_ms,
            resend_count=parameters.resend_count,
            is_regular=parameters.is_regular,
            log_path=str(folder / f"caller-{number}.jsonl"),
        )
        for number in range(count)
    ]


def _list_workloads(
    launcher: launch.Launcher, parameters: measure.Parameters
) -> tuple[plans.Workload, ...]:
    spec = launcher.deployment
    keyed_share = 1 - parameters.balanced_share
    shares = (
        ("GET", "keyed", keyed_share * (1 - parameters.post_share)),
        ("POST", "keyed", keyed_share * parameters.post_share),
        ("GET", "balanced", parameters.balanced_share),
    )
    return tuple(
        _make_workload(launcher, spec.find_pool(kind), method, weight)
        for method, kind, weight in shares
        if weight > 0
    )


def _make_workload(
    launcher: launch.Launcher, pool: tables.Pool, method: str, weight: float
) -> plans.Workload:
    spec = launcher.deployment
    return plans.Workload(
        method=method,
        pool=pool.name,
        prefix=spec.find_route(pool.name).prefix,
        shard_count=pool.shard_count,
        weight=weight,
        nodes=tuple(
            launcher.find_authority(name)
            for name in spec.list_servers(pool.name)
        ),
    )


def _make_key_distribution(
    launcher: launch.Launcher, parameters: measure.Parameters
) -> plans.KeyDistribution:
    if parameters.keys_per_shard:
        pool = launcher.deployment.find_pool("keyed")
        names = plans.list_even_keys(
            pool.shard_count, parameters.keys_per_shard
        )
    else:
        names = tuple(f"key-{n:06}" for n in range(parameters.key_count))
    return plans.KeyDistribution(
        names=names,
        zipf_exponent=parameters.zipf_exponent,
        hot_count=parameters.hot_count,
        hot_share=parameters.hot_share,
    )


def _start_caller(
    stack: contextlib.ExitStack, plan: plans.Plan, folder: pathlib.Path
) -> processes.Process:
    path = folder / f"plan-{plan.caller}.json"
    path.write_bytes(msgspec.json.encode(plan))
    caller = processes.Process(
        name=str(plan.caller),
        role=processes.Role.CALLER,
        arguments=("tools.load.caller", str(path)),
        folder=folder,
    )
    stack.callback(caller.kill)
    caller.start()
    return caller


def _wait_for(caller: processes.Process) -> None:
    code = caller.wait(_END_TIMEOUT_S)
    if code != 0:
        raise processes.CannotStart(
            f"caller {caller.name} exited with {code}: {caller.read_log_tail()}"
        )


def _sleep_until(moment_ns: int) -> None:
    wait_ns = moment_ns - time.monotonic_ns()
    if wait_ns > 0:
        time.sleep(wait_ns / _NS_PER_S)


def _list_processes(launcher: launch.Launcher) -> list[processes.Process]:
    return [
        launcher.platform,
        *launcher.nodes.values(),
        *launcher.upstreams.values(),
    ]


def _read_usages(launcher: launch.Launcher) -> dict[int, processes.Usage]:
    return {
        process.pid: process.read_usage()
        for process in _list_processes(launcher)
    }


def _compute_result(
    launcher: launch.Launcher,
    parameters: measure.Parameters,
    start_ns: int,
    outcomes: list[records.Outcome],
    before: dict[int, processes.Usage],
    after: dict[int, processes.Usage],
) -> measure.Result:
    correct = [item for item in outcomes if item.is_correct]
    kinds = sorted({(item.method, item.pool) for item in outcomes})
    pools = [pool.name for pool in launcher.deployment.operators_tables.pools]
    return measure.Result(
        parameters=parameters,
        revision=read_revision(),
        processor_count=os.cpu_count() or 1,
        sent_count=len(outcomes),
        request_count=sum(item.attempt == 1 for item in outcomes),
        correct_count=len(correct),
        asked_per_s=parameters.rate_per_s,
        reached_per_s=measure.find_rate(correct, start_ns, parameters.seconds),
        latency=measure.measure_latency(outcomes),
        latency_by_work={
            f"{method} {pool}": measure.measure_latency(
                item
                for item in outcomes
                if (item.method, item.pool) == (method, pool)
            )
            for method, pool in kinds
        },
        count_by_status=measure.count(item.status for item in outcomes),
        count_by_refusal=measure.count(item.refusal for item in outcomes),
        count_by_verdict=measure.count(item.verdict for item in outcomes),
        count_by_fault=measure.count(item.fault for item in outcomes),
        answer_body_bytes=sum(item.body_bytes for item in outcomes),
        usage_by_role={
            role.value: _sum_usage(launcher, role, before, after, len(correct))
            for role in (
                processes.Role.PLATFORM,
                processes.Role.NODE,
                processes.Role.UPSTREAM,
            )
        },
        platform_per_s={},
        load_by_pool=measure.measure_pools(
            correct,
            {pool: launcher.deployment.list_servers(pool) for pool in pools},
        ),
    )


def _sum_usage(
    launcher: launch.Launcher,
    role: processes.Role,
    before: dict[int, processes.Usage],
    after: dict[int, processes.Usage],
    request_count: int,
) -> measure.RoleUsage:
    role_processes = [p for p in _list_processes(launcher) if p.role is role]
    cpu_s = 0.0
    for process in role_processes:
        start_usage = before.get(process.pid)
        end_usage = after.get(process.pid)
        if end_usage is not None:
            cpu_s += max(
                0.0,
                end_usage.cpu_s - (start_usage.cpu_s if start_usage else 0.0),
            )
    return measure.RoleUsage(
        process_count=len(role_processes),
        cpu_s=round(cpu_s, 2),
        cpu_us_per_request=(
            round(cpu_s / request_count * _US_PER_S, 1)
            if request_count
            else 0.0
        ),
        max_resident_bytes=max(
            (
                usage.resident_bytes
                for usage in _list_usages(role_processes, after)
            ),
            default=0,
        ),
    )


def _list_usages(
    role_processes: list[processes.Process], usages: dict[int, processes.Usage]
) -> list[processes.Usage]:
    return [usages[p.pid] for p in role_processes if p.pid in usages]

"""Injects faults into real processes under load and checks the records.

Usage: python -m tools.faults --fault NAME --repeat N --seed S
"""

from collections.abc import Iterable
import contextlib
import pathlib
import statistics
import sys

import fire
import msgspec

from tools import checker
from tools import deployment
from tools import http_json
from tools import injection
from tools import launch
from tools import processes
from tools import records
from tools.load import measure
from tools.load import run

_NS_PER_S = 1_000_000_000
_FAULT_AT_S = 2.0
_OBSERVATION_S = 9.0
_OK = 200
_CONNECTION_REFUSED = "ConnectionRefusedError"
_MAX_PRINTED_FINDINGS = 3
_ALL = "all"


class FaultRun(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a fault.

    A gap is the longest time without a correct answer from a shard, in ms:
    `gaps_ms` are those of the victims' shards, `other_gaps_ms` those of the
    other shards. Gaps are measured with a resolution of `resolution_ms`.
    """

    fault: str
    seed: int
    victims: tuple[str, ...]
    shard_count: int
    gaps_ms: tuple[float, ...]
    other_gaps_ms: tuple[float, ...]
    resolution_ms: float
    moved_count: int
    cut_off_count: int
    correct_count: int
    refused_count: int
    findings: dict[str, int]
    failures: tuple[str, ...]


class FaultReport(msgspec.Struct, frozen=True, kw_only=True):
    """All runs of one fault, and whether they stayed within its bounds."""

    fault: str
    deployment: str
    revision: str
    unavailable_p50_ms: float
    unavailable_max_ms: float
    other_max_ms: float
    moved_max: int
    cut_off_max: int
    violation_count: int
    is_passed: bool
    runs: tuple[FaultRun, ...]


def run_faults(
    *,
    fault: str = _ALL,
    repeat: int = 1,
    seed: int = 1,
    deployment_name: str = "garam-jalan",
    rate: float = 480.0,
    store_down_s: float = 60.0,
    out: str = "faults.json",
    keep: str = "",
) -> int:
    """Runs faults and compares what callers observed with the bounds.

    Args:
        fault: One fault, several separated by commas, or "all".
        repeat: Number of runs of each fault.
        seed: Seed of victims and requests; incremented for each run.
        deployment_name: A folder under examples/.
        rate: Requests per second, spread evenly over all shards.
        store_down_s: Duration of the outage in "store-down", in seconds.
        out: File for the reports, as JSON.
        keep: Folder in which logs and records are kept, if any.

    Returns:
        0 when every run stayed within its bounds.
    """
    processes.raise_on_sigterm()
    names = list_names(fault)
    reports = []
    for name in names:
        runs = [
            _run_fault(
                injection.Fault(name),
                seed=seed + number,
                deployment_name=deployment_name,
                rate_per_s=float(rate),
                store_down_s=float(store_down_s),
                folder=pathlib.Path(keep, f"{name}-{number}") if keep else None,
            )
            for number in range(repeat)
        ]
        reports.append(make_report(name, deployment_name, runs))
        _print_report(reports[-1])
        pathlib.Path(out).write_bytes(
            msgspec.json.format(msgspec.json.encode(reports))
        )
    return 0 if all(report.is_passed for report in reports) else 1


def list_names(fault: str | Iterable[str]) -> list[str]:
    """Lists the names of the requested faults.

    Raises:
        ValueError: There is no such fault.
    """
    parts = fault.split(",") if isinstance(fault, str) else list(fault)
    if parts == [_ALL]:
        return [item.value for item in injection.Fault]
    return [injection.Fault(part).value for part in parts]


def make_report(
    name: str, deployment_name: str, runs: list[FaultRun]
) -> FaultReport:
    """Summarizes the runs of one fault."""
    gaps = [gap for item in runs for gap in item.gaps_ms]
    others = [gap for item in runs for gap in item.other_gaps_ms]
    return FaultReport(
        fault=name,
        deployment=deployment_name,
        revision=run.read_revision(),
        unavailable_p50_ms=round(statistics.median(gaps or [0.0]), 1),
        unavailable_max_ms=round(max(gaps, default=0.0), 1),
        other_max_ms=round(max(others, default=0.0), 1),
        moved_max=max((item.moved_count for item in runs), default=0),
        cut_off_max=max((item.cut_off_count for item in runs), default=0),
        violation_count=sum(sum(item.findings.values()) for item in runs),
        is_passed=not any(item.failures for item in runs),
        runs=tuple(runs),
    )


def count_cut_off(outcomes: Iterable[records.Outcome], after_ns: int) -> int:
    """Counts sends that may have run but got no correct answer.

    A refused connection carried no request, so it is not counted.
    """
    return sum(
        item.end_ns >= after_ns
        and item.status != _OK
        and item.fault != _CONNECTION_REFUSED
        and item.verdict in ("", "may-have-run", "ran")
        for item in outcomes
    )


def _run_fault(
    fault: injection.Fault,
    *,
    seed: int,
    deployment_name: str,
    rate_per_s: float,
    store_down_s: float,
    folder: pathlib.Path | None,
) -> FaultRun:
    spec = deployment.read_deployment(deployment.EXAMPLES / deployment_name)
    is_long = fault is injection.Fault.STORE_DOWN
    with launch.Launcher(spec=spec, folder=folder) as launcher:
        launcher.start()
        parameters = measure.Parameters(
            deployment=deployment_name,
            rate_per_s=rate_per_s,
            seconds=_FAULT_AT_S
            + _OBSERVATION_S
            + (store_down_s if is_long else 0),
            seed=seed,
            caller_count=3,
            thread_count=96,
            balanced_share=0.05,
            keys_per_shard=1,
            timeout_ms=2_500,
            is_regular=True,
            fault=fault.value,
            fault_at_s=_FAULT_AT_S,
        )
        return _measure_fault(launcher, fault, parameters, store_down_s)


def _measure_fault(
    launcher: launch.Launcher,
    fault: injection.Fault,
    parameters: measure.Parameters,
    store_down_s: float,
) -> FaultRun:
    pool = launcher.deployment.find_pool("keyed").name
    before = launcher.read_owners(next(iter(launcher.nodes)), pool)
    injector = injection.Injector(
        launcher=launcher, fault=fault, seed=parameters.seed
    )
    measured = run.run_load(
        launcher,
        parameters,
        during=lambda start_ns: injector.inject(
            start_ns + int(_FAULT_AT_S * _NS_PER_S), store_down_s
        ),
    )
    after = _read_owners_anywhere(launcher, pool)
    injected = injector.injected
    findings = checker.check(measured.runs, measured.outcomes)
    for item in findings[:_MAX_PRINTED_FINDINGS]:
        print(f"  {item.rule.value} {item.subject}: {item.explanation}")
    lost = [
        shard for shard, owner in enumerate(before) if owner in injected.victims
    ]
    end_ns = measured.start_ns + int(parameters.seconds * _NS_PER_S)
    gaps, other_gaps = (
        measure.find_gaps(
            measured.outcomes,
            pool=pool,
            shards=shards,
            start_ns=start_ns,
            end_ns=end_ns,
        )
        for shards, start_ns in (
            (lost, injected.recovery_start_ns or injected.at_ns),
            (set(range(len(before))) - set(lost), injected.at_ns),
        )
    )
    cut_off_count = count_cut_off(measured.outcomes, injected.at_ns)
    return FaultRun(
        fault=fault.value,
        seed=parameters.seed,
        victims=injected.victims,
        shard_count=len(before),
        gaps_ms=tuple(round(gap, 1) for gap in gaps.values()),
        other_gaps_ms=tuple(round(gap, 1) for gap in other_gaps.values()),
        resolution_ms=round(
            len(before) * 1_000 / (parameters.rate_per_s * 0.95), 1
        ),
        moved_count=sum(
            old != new for old, new in zip(before, after, strict=False)
        ),
        cut_off_count=cut_off_count,
        correct_count=measured.result.correct_count,
        refused_count=sum(measured.result.count_by_refusal.values()),
        findings=checker.count_by_rule(findings),
        failures=tuple(
            _list_failures(
                fault,
                max((*gaps.values(), *other_gaps.values()), default=0.0),
                cut_off_count,
                findings,
                injected,
            )
        ),
    )


def _list_failures(
    fault: injection.Fault,
    worst_ms: float,
    cut_off_count: int,
    findings: list[checker.Finding],
    injected: injection.InjectionRecord,
) -> list[str]:
    bound = injection.find_bound(fault)
    failures = list(injected.notes)
    if worst_ms > bound.unavailable_ms:
        failures.append(
            f"unavailable {worst_ms:.0f} ms, more than {bound.unavailable_ms}"
        )
    if cut_off_count and not bound.is_cut_off_allowed:
        failures.append(f"{cut_off_count} requests cut off")
    if findings:
        failures.append(f"checker: {checker.count_by_rule(findings)}")
    return failures


def _read_owners_anywhere(launcher: launch.Launcher, pool: str) -> list[str]:
    for name in launcher.nodes:
        with contextlib.suppress(http_json.CannotReach):
            return launcher.read_owners(name, pool)
    raise http_json.CannotReach("no node answers")


def _print_report(report: FaultReport) -> None:
    print(
        f"{'pass' if report.is_passed else 'FAIL'} {report.fault:22}"
        f" unavailable p50 {report.unavailable_p50_ms:.0f}"
        f" max {report.unavailable_max_ms:.0f} ms,"
        f" others max {report.other_max_ms:.0f} ms,"
        f" moved {report.moved_max}, cut off {report.cut_off_max},"
        f" violations {report.violation_count}",
        flush=True,
    )
    for item in report.runs:
        for failure in item.failures:
            print(f"     seed {item.seed} {item.victims}: {failure}")


if __name__ == "__main__":
    sys.exit(fire.Fire(run_faults, serialize=lambda code: None))

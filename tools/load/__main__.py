"""Command line of the load tool; see `./run load --help`."""

from collections.abc import Callable
import pathlib
import sys

import fire
import msgspec

from tools import checker
from tools import deployment
from tools import injection
from tools import launch
from tools import processes
from tools.load import measure
from tools.load import run

_NS_PER_S = 1_000_000_000
_MAX_PRINTED_FINDINGS = 5


def load(
    *,
    deployment_name: str = "garam-jalan",
    rate: float = 200.0,
    seconds: float = 10.0,
    callers: int = 2,
    local_only: bool = False,
    instances: str = "",
    fault: str = "",
    fault_at: float = 3.0,
    out: str = "load.json",
    keep: str = "",
    **more: str | float | bool,
) -> int:
    """Runs load on a new deployment, checks all answers and writes a result.

    Args:
        deployment_name: A folder under examples/ (also `--deployment`).
        rate: Requests per second, over all callers.
        seconds: Duration of the load.
        callers: Number of caller processes; 0 measures an idle deployment.
        local_only: Send to the owner's node once it is known; without it, to
            any node (also `--blind`).
        instances: Run only these instances, separated by commas.
        fault: A fault of `tools.faults` to inject, if any.
        fault_at: Time of the fault, in seconds after the start.
        out: File for the result, as JSON.
        keep: Folder in which logs and records are kept, if any.
        **more: Other fields of `tools.load.measure.Parameters`.

    Returns:
        0 when the checker found no violation and every answer was correct or a
        refusal.
    """
    processes.raise_on_sigterm()
    name = str(more.pop("deployment", deployment_name))
    is_blind = bool(more.pop("blind", not local_only))
    parameters = msgspec.convert(
        {
            "deployment": name,
            "rate_per_s": float(rate) if callers else 0.0,
            "seconds": float(seconds),
            "caller_count": callers,
            "entry": "blind" if is_blind else "local",
            "fault": fault,
            "fault_at_s": float(fault_at),
            **more,
        },
        measure.Parameters,
    )
    spec = deployment.read_deployment(deployment.EXAMPLES / name)
    if instances:
        spec = deployment.select_instances(spec, _split_names(instances))
    with launch.Launcher(
        spec=spec, folder=pathlib.Path(keep) if keep else None
    ) as launcher:
        launcher.start()
        measured = run.run_load(
            launcher, parameters, during=_create_injection(launcher, parameters)
        )
    pathlib.Path(out).write_bytes(
        msgspec.json.format(msgspec.json.encode(measured.result))
    )
    return print_result(measured)


def print_result(measured: run.Measurement) -> int:
    """Prints a result; returns 1 when the checker found violations."""
    result = measured.result
    latency = result.latency
    print(
        f"asked {result.asked_per_s:.0f}/s, reached {result.reached_per_s}/s"
        f" right answers ({result.correct_count} of {result.request_count}"
        f" requests, {result.sent_count} sends)"
    )
    print(
        f"latency ms: p50 {latency.p50_ms:.2f} p99 {latency.p99_ms:.2f}"
        f" p99.9 {latency.p999_ms:.2f} max {latency.max_ms:.2f}"
    )
    for title, counts in (
        ("status", result.count_by_status),
        ("verdict", result.count_by_verdict),
        ("refusal", result.count_by_refusal),
        ("fault", result.count_by_fault),
    ):
        print(f"{title}: {counts}")
    for role, usage in result.usage_by_role.items():
        share = usage.cpu_s / usage.process_count / result.parameters.seconds
        print(
            f"{role}: {usage.cpu_s} CPU s ({share:.1%} of a core each),"
            f" {usage.cpu_us_per_request} us/request,"
            f" {usage.max_resident_bytes >> 20} MiB"
        )
    print(f"platform, 1/s: {result.platform_per_s}")
    for pool, shares in result.load_by_pool.items():
        print(f"{pool}: imbalance {shares.imbalance}")
    findings = checker.check(measured.runs, measured.outcomes)
    print(f"checker: {len(findings)} {checker.count_by_rule(findings)}")
    for item in findings[:_MAX_PRINTED_FINDINGS]:
        print(f"  {item.rule.value} {item.subject}: {item.explanation}")
    return 1 if findings else 0


def _create_injection(
    launcher: launch.Launcher, parameters: measure.Parameters
) -> Callable[[int], None] | None:
    if not parameters.fault:
        return None
    injector = injection.Injector(
        launcher=launcher,
        fault=injection.Fault(parameters.fault),
        seed=parameters.seed,
    )
    after_ns = int(parameters.fault_at_s * _NS_PER_S)
    return lambda start_ns: injector.inject(
        start_ns + after_ns, parameters.seconds / 2
    )


def _split_names(names: str | tuple[str, ...]) -> list[str]:
    """Splits names; fire already parses some lists into tuples."""
    return names.split(",") if isinstance(names, str) else list(names)


if __name__ == "__main__":
    sys.exit(fire.Fire(load, serialize=lambda code: None))

"""Steps for reading and checking deployments."""

import dataclasses

import behave
from behave import runner

from tools import deployment


def _read_example(name: str) -> deployment.Deployment:
    return deployment.read_deployment(deployment.EXAMPLES / name)


@behave.when('the deployment "{name}" is read')
def read(context: runner.Context, name: str) -> None:
    context.deployment = _read_example(name)


@behave.then(
    "the deployment has {keyed:d} keyed and {balanced:d} balanced servers"
)
def check_servers(context: runner.Context, keyed: int, balanced: int) -> None:
    spec = context.deployment
    for kind, count in (("keyed", keyed), ("balanced", balanced)):
        pool = spec.find_pool(kind)
        assert len(spec.list_servers(pool.name)) == count
        assert spec.find_route(pool.name)


@behave.then('the deployment spans {count:d} failure domains of "{region}"')
def check_domains(context: runner.Context, count: int, region: str) -> None:
    instances = context.deployment.instances
    assert len({item.failure_domain for item in instances}) == count
    assert {item.region for item in instances} == {region}


@behave.given(
    'the deployment "{name}" with {field} of "{instance}" set to "{value}"'
)
def given_changed(
    context: runner.Context, name: str, field: str, instance: str, value: str
) -> None:
    spec = _read_example(name)
    typed = int(value) if value.isdigit() else value
    context.deployment = dataclasses.replace(
        spec,
        instances=tuple(
            item.model_copy(update={field: typed})
            if item.instance == instance
            else item
            for item in spec.instances
        ),
    )


@behave.given('the deployment "{name}" with reassigned ports')
def given_other_ports(context: runner.Context, name: str) -> None:
    context.deployment = deployment.assign_ports(
        _read_example(name), platform_port=1, ports=iter(range(2, 1_000))
    )


@behave.when("the deployment is checked")
def check(context: runner.Context) -> None:
    context.faults = deployment.check_deployment(context.deployment)


@behave.then('the deployment has a fault at "{path}"')
def check_fault(context: runner.Context, path: str) -> None:
    assert path in [fault.path for fault in context.faults], context.faults


@behave.then("the deployment has no fault")
def check_none(context: runner.Context) -> None:
    assert not context.faults, context.faults

"""Reads deployments: the operators' tables and the settings of instances.

A deployment is a folder like those in `examples/`, with `tables.json` and one
file per instance in `settings/`. The product reads the same files.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib

from rhubarblead import faults
from rhubarblead import settings
from rhubarblead import tables

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
_PORT_FIELDS = ("http_port", "data_port", "control_port")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The operators' tables and the instances of one deployment."""

    name: str
    operators_tables: tables.Tables
    instances: tuple[settings.Settings, ...]

    def find_instance(self, name: str) -> settings.Settings:
        """Finds the settings of one instance.

        Raises:
            KeyError: There is no such instance.
        """
        for instance in self.instances:
            if instance.instance == name:
                return instance
        raise KeyError(name)

    def find_pool(self, kind: str) -> tables.Pool:
        """Finds the first pool of a kind, "keyed" or "balanced".

        Raises:
            LookupError: There is none.
        """
        for pool in self.operators_tables.pools:
            if pool.kind == kind:
                return pool
        raise LookupError(f"{self.name} has no {kind} pool")

    def find_route(self, pool: str) -> tables.Route:
        """Finds the first route to a pool.

        Raises:
            LookupError: There is none.
        """
        for route in self.operators_tables.routes:
            if route.pool == pool:
                return route
        raise LookupError(f"{self.name} has no route to {pool}")

    def list_servers(self, pool: str) -> list[str]:
        """Lists the instances of a pool, in the order of the deployment."""
        return [
            instance.instance
            for instance in self.instances
            if self.find_pool_of(instance.instance).name == pool
        ]

    def find_pool_of(self, instance: str) -> tables.Pool:
        """Finds the pool that an instance serves.

        Raises:
            LookupError: No pool names the instance.
        """
        pool = self.operators_tables.find_pool_of(instance)
        if pool is None:
            raise LookupError(f"no pool names {instance}")
        return pool


def read_deployment(folder: pathlib.Path) -> Deployment:
    """Reads and checks a deployment folder.

    Args:
        folder: The folder, which also gives the deployment its name.

    Returns:
        The checked deployment.

    Raises:
        faults.CannotAccept: A file is invalid, or the files are inconsistent;
            the error lists every fault.
    """
    spec = Deployment(
        name=folder.name,
        operators_tables=tables.read_tables(
            (folder / "tables.json").read_bytes()
        ),
        instances=tuple(
            settings.read_settings(path)
            for path in sorted((folder / "settings").glob("*.json"))
        ),
    )
    problems = check_deployment(spec)
    if problems:
        raise faults.CannotAccept(subject=str(folder), faults=problems)
    return spec


def check_deployment(spec: Deployment) -> tuple[faults.Fault, ...]:
    """Lists inconsistencies between the files of a deployment."""
    return (
        *_find_duplicates(
            "instance", (item.instance for item in spec.instances)
        ),
        *_find_duplicates("port", _list_addresses(spec)),
        *(
            faults.Fault(
                path=item.instance, expected="an instance that a pool names"
            )
            for item in spec.instances
            if spec.operators_tables.find_pool_of(item.instance) is None
        ),
        *(
            faults.Fault(
                path=item.instance,
                expected="the platform of the other instances",
            )
            for item in spec.instances[1:]
            if item.platform != spec.instances[0].platform
        ),
    )


def select_instances(spec: Deployment, names: Iterable[str]) -> Deployment:
    """Returns a copy of a deployment with only the named instances."""
    return dataclasses.replace(
        spec, instances=tuple(spec.find_instance(name) for name in names)
    )


def assign_ports(
    spec: Deployment, *, platform_port: int, ports: Iterator[int]
) -> Deployment:
    """Assigns new ports, so that several deployments can run in parallel.

    Args:
        spec: The deployment to copy.
        platform_port: The port of both services of the platform.
        ports: Free ports; three are used for each instance.

    Returns:
        The deployment with the new ports.
    """
    instances = []
    for instance in spec.instances:
        platform = instance.platform
        update: dict[str, object] = {
            field: next(ports) for field in _PORT_FIELDS
        }
        update["platform"] = platform.model_copy(
            update={
                field: getattr(platform, field).model_copy(
                    update={"port": platform_port}
                )
                for field in ("table_service", "object_store")
            }
        )
        instances.append(instance.model_copy(update=update))
    return dataclasses.replace(spec, instances=tuple(instances))


def _list_addresses(spec: Deployment) -> Iterator[str]:
    for instance in spec.instances:
        for field in _PORT_FIELDS:
            yield f"{instance.ip_address}:{getattr(instance, field)}"


def _find_duplicates(path: str, values: Iterable[str]) -> list[faults.Fault]:
    counts = collections.Counter(values)
    return [
        faults.Fault(path=path, expected=f"{value!r} once, not {count} times")
        for value, count in counts.items()
        if count > 1
    ]

"""The settings of one node, read from a JSON file and checked as a whole."""

import pathlib
from typing import Annotated
from typing import TypeAlias

import pydantic

from rhubarblead import faults
from rhubarblead import tables

Port: TypeAlias = Annotated[int, pydantic.Field(ge=1, le=65_535)]
Duration: TypeAlias = Annotated[int, pydantic.Field(ge=1, le=600_000)]


class Address(tables.Strict):
    """An IP number and a port."""

    ip_address: pydantic.IPvAnyAddress
    port: Port

    @property
    def authority(self) -> str:
        """The address as `ip:port`."""
        return f"{self.ip_address}:{self.port}"


class Lease(tables.Strict):
    """How leases are kept and lost members found.

    `drift_per_mille` bounds how much two monotonic clocks may differ in rate.
    `authority_ms` is how long a granter may promise after it last knew that
    it was a member itself.
    """

    duration_ms: Duration = 900
    heartbeat_ms: Duration = 200
    drift_per_mille: Annotated[int, pydantic.Field(ge=0, le=100)] = 10
    authority_ms: Duration = 4_000
    tick_ms: Duration = 50


class Platform(tables.Strict):
    """Where the table service and object store are."""

    table_service: Address
    object_store: Address
    timeout_ms: Duration = 1_000
    poll_ms: Duration = 250
    pollers_per_domain: Annotated[int, pydantic.Field(ge=1, le=16)] = 2


class Upstream(tables.Strict):
    """How the node speaks with the upstream beside it.

    The upstream announces itself with a POST to the node's `/-/announce`.
    """

    probe_ms: Duration = 200
    probe_timeout_ms: Duration = 300
    probe_failures: Annotated[int, pydantic.Field(ge=1, le=100)] = 3


class Limits(tables.Strict):
    """Bounds on what one node holds at a time."""

    threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 32
    peer_threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 24
    request_bytes: Annotated[int, pydantic.Field(ge=1024, le=2**30)] = 2**26
    ledger_entries: Annotated[int, pydantic.Field(ge=16, le=10**7)] = 50_000
    retry_per_mille: Annotated[int, pydantic.Field(ge=0, le=1000)] = 100
    ack_timeout_ms: Duration = 150
    drain_ms: Duration = 5_000


class Metrics(tables.Strict):
    """Where metrics go, by the statsd protocol over UDP."""

    server: Address
    prefix: str = "rhubarblead"


class Logs(tables.Strict):
    """How much is logged, and how many events the time line keeps."""

    level: Annotated[
        str, pydantic.Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"
    timeline_events: Annotated[int, pydantic.Field(ge=16, le=10**6)] = 20_000


class Settings(tables.Strict):
    """All that one node reads at its start."""

    instance: tables.Name
    region: tables.Name
    failure_domain: tables.Name
    ip_address: pydantic.IPvAnyAddress
    http_port: Port
    data_port: Port
    control_port: Port
    platform: Platform
    lease: Lease = Lease()
    upstream: Upstream = Upstream()
    limits: Limits = Limits()
    logs: Logs = Logs()
    metrics: Metrics | None = None

    @pydantic.model_validator(mode="after")
    def _check_lease(self) -> "Settings":
        if self.lease.heartbeat_ms * 3 > self.lease.duration_ms:
            raise ValueError(
                "lease.heartbeat_ms must be at most a third of"
                " lease.duration_ms"
            )
        return self


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Args:
        path: The JSON file.

    Returns:
        The checked settings.

    Raises:
        faults.CannotAccept: The file can't be read, or fields are wrong;
            every wrong field is named.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise faults.CannotAccept(
            subject=str(path),
            faults=(
                faults.Fault(
                    path="(file)",
                    expected=f"a readable file: {error.strerror}",
                ),
            ),
        ) from error
    try:
        return Settings.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise faults.CannotAccept(
            subject=str(path), faults=faults.list_faults(error)
        ) from error

"""The settings of one node, read from a JSON file and validated."""

import pathlib
from typing import Annotated
from typing import TypeAlias

import pydantic

from rhubarblead import faults
from rhubarblead import tables

Port: TypeAlias = Annotated[int, pydantic.Field(ge=1, le=65_535)]
Duration: TypeAlias = Annotated[int, pydantic.Field(ge=1, le=600_000)]


class Address(tables.Strict):
    """An IP address and a port."""

    ip_address: pydantic.IPvAnyAddress
    """IP address."""
    port: Port
    """Port."""

    @property
    def authority(self) -> str:
        """The address in the form `ip:port`."""
        return f"{self.ip_address}:{self.port}"


class Lease(tables.Strict):
    """Leases and failure detection.

    `drift_per_mille` is the maximum difference in rate between two monotonic
    clocks. `authority_ms` is how long a granter may make promises after it last
    confirmed that it is a member.
    """

    duration_ms: Duration = 900
    """Duration of a lease after a heartbeat that granters have confirmed."""
    heartbeat_ms: Duration = 200
    """Interval between heartbeats to a granter."""
    drift_per_mille: Annotated[int, pydantic.Field(ge=0, le=100)] = 10
    """Maximum difference in rate between two monotonic clocks."""
    authority_ms: Duration = 4_000
    """How long a granter makes promises after confirming its membership."""
    grant_ms: Duration = 600
    """Duration of a grant to the upstream unless a probe extends it."""
    tick_ms: Duration = 50
    """Interval between checks for tasks that are due."""


class Platform(tables.Strict):
    """Access to the platform's table service and object store."""

    table_service: Address
    """Address of the table service."""
    object_store: Address
    """Address of the object store."""
    timeout_ms: Duration = 1_000
    """Timeout of one call to the platform."""
    poll_ms: Duration = 250
    """Interval at which a polling node reads the rows."""
    pollers_per_domain: Annotated[int, pydantic.Field(ge=1, le=16)] = 2
    """Number of nodes in each failure domain that poll the platform."""


class Upstream(tables.Strict):
    """Health checks of the node's local upstream.

    The upstream registers with a POST to the node's `/-/announce`.
    """

    probe_ms: Duration = 200
    """Interval between probes of the upstream."""
    probe_timeout_ms: Duration = 200
    """Timeout of a probe."""
    probe_failures: Annotated[int, pydantic.Field(ge=1, le=100)] = 3
    """Consecutive failed probes after which the upstream is frozen."""


class Limits(tables.Strict):
    """Resource limits of one node."""

    threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 32
    """Threads for requests from callers."""
    peer_threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 24
    """Threads for requests forwarded by other nodes."""
    request_bytes: Annotated[int, pydantic.Field(ge=1024, le=2**30)] = 2**26
    """Maximum size of a request body, in bytes."""
    queue_length: Annotated[int, pydantic.Field(ge=0, le=100_000)] = 64
    """Maximum number of requests waiting for an upstream slot."""
    ledger_entries: Annotated[int, pydantic.Field(ge=16, le=10**7)] = 50_000
    """Maximum number of unrepeatable requests in the ledger."""
    retry_per_mille: Annotated[int, pydantic.Field(ge=0, le=1000)] = 100
    """Maximum number of retries per thousand requests."""
    connections: Annotated[int, pydantic.Field(ge=1, le=65_000)] = 1_000
    """Maximum number of open connections from callers."""
    idle_ms: Annotated[int, pydantic.Field(ge=1_000, le=600_000)] = 120_000
    """Idle timeout of a caller's connection."""
    ack_timeout_ms: Duration = 150
    """How long another node may take to acknowledge a request."""
    drain_ms: Duration = 5_000
    """How long shutdown waits for requests in progress."""


class Metrics(tables.Strict):
    """Export of metrics with the statsd protocol over UDP."""

    server: Address
    """Address of the statsd server."""
    prefix: str = "rhubarblead"
    """Prefix of the name of each metric."""


class Logs(tables.Strict):
    """Log level and size of the time line."""

    level: Annotated[
        str, pydantic.Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"
    """Minimum level of logged events."""
    timeline_events: Annotated[int, pydantic.Field(ge=16, le=10**6)] = 20_000
    """Capacity of the process's time line, in events."""


class Settings(tables.Strict):
    """The settings that a node reads at startup."""

    instance: tables.Name
    """Name of the instance, by which pools refer to their servers."""
    region: tables.Name
    """Region of the instance."""
    failure_domain: tables.Name
    """Failure domain of the instance."""
    ip_address: pydantic.IPvAnyAddress
    """IP address on which the node listens and others reach it."""
    http_port: Port
    """Port for callers, operators and the upstream's registration."""
    data_port: Port
    """Port for requests from other nodes."""
    control_port: Port
    """Port for heartbeats and state updates from other nodes."""
    platform: Platform
    """The platform's services."""
    lease: Lease = Lease()
    """Leases."""
    upstream: Upstream = Upstream()
    """The node's local upstream."""
    limits: Limits = Limits()
    """Resource limits."""
    logs: Logs = Logs()
    """Logs and the time line."""
    metrics: Metrics | None = None
    """Metrics; if absent, none are sent."""

    @pydantic.model_validator(mode="after")
    def _check_lease(self) -> "Settings":
        if self.lease.heartbeat_ms * 3 > self.lease.duration_ms:
            raise ValueError(
                "lease.heartbeat_ms must be at most a third of"
                " lease.duration_ms"
            )
        return self


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: The JSON file.

    Returns:
        The validated settings.

    Raises:
        faults.CannotAccept: The file can't be read or fields are invalid; the
            exception lists every invalid field.
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

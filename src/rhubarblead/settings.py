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
    """IP number."""
    port: Port
    """Port."""

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
    """How long a lease holds after a heartbeat that is promised to."""
    heartbeat_ms: Duration = 200
    """Time between two heartbeats to a granter."""
    drift_per_mille: Annotated[int, pydantic.Field(ge=0, le=100)] = 10
    """Bound on how much two monotonic clocks differ in rate."""
    authority_ms: Duration = 4_000
    """How long a granter promises after it last knew that it was a member."""
    grant_ms: Duration = 600
    """How long a grant to the upstream holds unless a probe extends it."""
    tick_ms: Duration = 50
    """Time between two looks at what is due."""


class Platform(tables.Strict):
    """Where the table service and object store are."""

    table_service: Address
    """Where the table service is."""
    object_store: Address
    """Where the object store is."""
    timeout_ms: Duration = 1_000
    """How long one call to the platform may take."""
    poll_ms: Duration = 250
    """Time between two reads of the rows by a polling node."""
    pollers_per_domain: Annotated[int, pydantic.Field(ge=1, le=16)] = 2
    """Nodes of each failure domain that poll the platform."""


class Upstream(tables.Strict):
    """How the node speaks with the upstream beside it.

    The upstream announces itself with a POST to the node's `/-/announce`.
    """

    probe_ms: Duration = 200
    """Time between two probes of the upstream."""
    probe_timeout_ms: Duration = 200
    """How long a probe may take."""
    probe_failures: Annotated[int, pydantic.Field(ge=1, le=100)] = 3
    """Failed probes in a row after which the upstream counts as frozen."""


class Limits(tables.Strict):
    """Bounds on what one node holds at a time."""

    threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 32
    """Threads for requests of callers."""
    peer_threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 24
    """Threads for requests that other nodes pass on."""
    request_bytes: Annotated[int, pydantic.Field(ge=1024, le=2**30)] = 2**26
    """Bodies that the node holds at a time."""
    queue_length: Annotated[int, pydantic.Field(ge=0, le=100_000)] = 64
    """Requests that wait for a slot of the upstream."""
    ledger_entries: Annotated[int, pydantic.Field(ge=16, le=10**7)] = 50_000
    """Unrepeatable requests that the node remembers."""
    retry_per_mille: Annotated[int, pydantic.Field(ge=0, le=1000)] = 100
    """Retries allowed, as a share of the requests."""
    connections: Annotated[int, pydantic.Field(ge=1, le=65_000)] = 1_000
    """Connections of callers that the node accepts at a time."""
    idle_ms: Annotated[int, pydantic.Field(ge=1_000, le=600_000)] = 120_000
    """How long a caller's connection may stay unused."""
    ack_timeout_ms: Duration = 150
    """How long another node may take to confirm that it has a request."""
    drain_ms: Duration = 5_000
    """How long a stop waits for requests in progress."""


class Metrics(tables.Strict):
    """Where metrics go, by the statsd protocol over UDP."""

    server: Address
    """Where the statsd server is."""
    prefix: str = "rhubarblead"
    """Begins the name of each metric."""


class Logs(tables.Strict):
    """How much is logged, and how many events the time line keeps."""

    level: Annotated[
        str, pydantic.Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"
    """Lowest level of the events that are logged."""
    timeline_events: Annotated[int, pydantic.Field(ge=16, le=10**6)] = 20_000
    """Events that the time line of the process keeps."""


class Settings(tables.Strict):
    """All that one node reads at its start."""

    instance: tables.Name
    """Name of the instance; pools name their servers by it."""
    region: tables.Name
    """Region of the instance."""
    failure_domain: tables.Name
    """Failure domain of the instance."""
    ip_address: pydantic.IPvAnyAddress
    """IP number that the node listens on and others reach it by."""
    http_port: Port
    """Port for callers, operators and the upstream's announcements."""
    data_port: Port
    """Port for requests from other nodes."""
    control_port: Port
    """Port for heartbeats and news from other nodes."""
    platform: Platform
    """The platform's services."""
    lease: Lease = Lease()
    """Leases."""
    upstream: Upstream = Upstream()
    """The upstream beside the node."""
    limits: Limits = Limits()
    """Bounds on what the node holds."""
    logs: Logs = Logs()
    """Logs and the time line."""
    metrics: Metrics | None = None
    """Metrics; none are sent when this is absent."""

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

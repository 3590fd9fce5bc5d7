"""Decodes the settings file that the platform provides to each process."""

import dataclasses
import ipaddress
import math
import os
import pathlib
from typing import Annotated
from typing import Any

import msgspec

from rhubarblead import decoding

SETTINGS_VARIABLE = "RHUBARBLEAD_NODE_FILE"
METRICS_PORT = 9_464
"""As in `metrics` of deploy/system.toml; the settings file does not set it."""

BYTES_PER_MBIT = 125_000

BYTES_PER_MB = 1_048_576
DEFAULT_MEMORY_MB = 200.0
"""The least memory that an instance has."""
DEFAULT_DESCRIPTOR_COUNT = 4_096

UNLIMITED_LINK_MBPS = 1_000.0
"""Taken for a link without a limit; no response occupies it for long."""

DEFAULT_PATH = "/etc/rhubarblead/settings.json"


class CannotLoad(Exception):
    """The settings file can't be read or is invalid."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IPv4 address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Time limits and ratios that the platform requires the system to keep."""

    grace_ms: int = 6_000
    hold_max_ms: int = 10_000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_extra_count: float = 62.0
    cold_overage: float = 1.5
    cold_slack_count: float = 5.0
    evacuation_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The settings of one process.

    `callers` is the address to which clients and the server of this instance
    send requests, `heartbeats` the one to which the server sends heartbeats,
    and `upstream` the address of the server. Other nodes connect to
    `peers_port`; `spare_ports` are free. `is_first_start` is set if the whole
    deployment starts for the first time.
    """

    instance: str
    failure_domain: str
    service: str
    callers: Address
    readiness: Address
    heartbeats: Address
    upstream: Address
    peers_port: int
    spare_ports: range
    store: Address
    metrics: Address
    heartbeat_ms: int
    bounds: Bounds
    link_bytes_per_ms: float
    memory_bytes: int
    descriptor_count: int
    is_first_start: bool = False


MAX_PORT = 65_535
_PORT_DIGITS = len(str(MAX_PORT))

_Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


class _Listen(msgspec.Struct):
    # Requests that are "outbound" for the server and its clients arrive here.
    outbound: str
    readiness: str
    control: str


class _Platform(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct, rename="camel"):
    # In units of 10^6 bits per second; 0 or none if there is no limit.
    link_mbps: float | None = None
    # In units of 2^20 bytes; a process that takes up more is ended.
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] | None = None
    file_descriptors: Annotated[int, msgspec.Meta(gt=0)] | None = None


class _File(msgspec.Struct, rename="camel"):
    node_name: str
    ip_address: str
    zone: str
    listen_addresses: _Listen
    internal_port_range: tuple[_Port, _Port]
    application: str
    service: str
    platform: _Platform
    heartbeat_interval_ms: Annotated[int, msgspec.Meta(ge=1)] = 1_000
    # Only true for the first processes of a new deployment.
    bootstrap: bool = False
    bounds: list[str] = msgspec.field(default_factory=list)
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DESCRIPTIONS = {
    "node_name": "name of the instance, included in each log line",
    "ip_address": "IP address of the instance, also used for metrics",
    "zone": "failure domain of the instance",
    "listen_addresses": (
        "listening addresses for callers (`outbound`), heartbeats (`control`)"
        " and readiness checks (`readiness`)"
    ),
    "internal_port_range": (
        "port range; other nodes connect to its first port, and a server that"
        " must confirm its heartbeats is directed to one of the others"
    ),
    "application": "listening address of the server beside this node",
    "service": "service of that server",
    "platform": "address of the store",
    "heartbeat_interval_ms": "interval between the server's heartbeats",
    "bootstrap": "whether the whole deployment starts for the first time",
    "bounds": "time limits and ratios as NAME=NUMBER; others have defaults",
    "limits": (
        "limits of the instance: `linkMbps` is the rate of its link, `memoryMb`"
        " the memory of the process, a quarter of which beyond 60 MB is for"
        " large requests of clients, and `fileDescriptors` its descriptors,"
        " three quarters of which are for connections of clients"
    ),
}


def describe() -> list[tuple[str, str, str]]:
    """Describes each field of the settings file: name, default and meaning."""
    rows = []
    for field in msgspec.structs.fields(_File):
        default = "required" if field.required else f"`{field.default}`"
        if field.default_factory is not msgspec.NODEFAULT:
            default = "none"
        rows.append((field.encode_name, default, _DESCRIPTIONS[field.name]))
    return rows


def load(path: str | None = None) -> Deployment:
    """Loads and checks the settings.

    Args:
        path: The file; by default the one named by the environment.

    Returns:
        The checked settings.

    Raises:
        CannotLoad: The file can't be read, or a field is missing or invalid.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        content = pathlib.Path(name).read_bytes()
    except OSError as error:
        raise CannotLoad(f"{name}: {error.strerror}") from error
    return decode(content)


def decode(content: bytes) -> Deployment:
    """Decodes the content of a settings file.

    Raises:
        CannotLoad: A field is missing or invalid.
    """
    try:
        raw = decoding.decode_json(content, dict[str, Any])
    except msgspec.MsgspecError as error:
        raise CannotLoad(f"settings: {error}") from error
    faults = _find_faults(raw)
    if faults:
        raise CannotLoad("settings: " + "; ".join(faults))
    found = msgspec.convert(raw, type=_File)
    return Deployment(
        instance=found.node_name,
        failure_domain=found.zone,
        service=found.service,
        callers=read_address(found.listen_addresses.outbound),
        readiness=read_address(found.listen_addresses.readiness),
        heartbeats=read_address(found.listen_addresses.control),
        upstream=read_address(found.application),
        peers_port=found.internal_port_range[0],
        spare_ports=range(
            found.internal_port_range[0] + 1, found.internal_port_range[1] + 1
        ),
        store=read_address(found.platform.address),
        metrics=Address(ip=found.ip_address, port=METRICS_PORT),
        heartbeat_ms=found.heartbeat_interval_ms,
        bounds=_read_bounds(found.bounds),
        link_bytes_per_ms=_read_link_rate(found.limits),
        memory_bytes=_read_memory(found.limits),
        descriptor_count=(
            found.limits.file_descriptors or DEFAULT_DESCRIPTOR_COUNT
        ),
        is_first_start=found.bootstrap,
    )


def read_address(text: str) -> Address:
    """Parses an address such as "10.1.0.38:8146".

    Raises:
        ValueError: The text is not an address with a port.
    """
    ip, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > _PORT_DIGITS:
        raise ValueError(f"{text!r} is not an address with a port")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"the port of {text!r} is out of range")
    return Address(ip=str(ipaddress.IPv4Address(ip)), port=int(port))


def _find_faults(raw: dict[str, Any]) -> list[str]:
    """Lists the error of each invalid field of a settings file."""
    faults = []
    for field in msgspec.structs.fields(_File):
        if field.encode_name not in raw:
            if field.required:
                faults.append(f"{field.encode_name} is missing")
            continue
        try:
            _check_field(field, raw[field.encode_name])
        except (msgspec.MsgspecError, ValueError) as error:
            faults.append(f"{field.encode_name}: {error}")
    return faults


def _check_field(field: msgspec.structs.FieldInfo, raw: object) -> None:
    """Checks the type of a field, and the addresses or bounds in it.

    Raises:
        msgspec.ValidationError: The value has the wrong type.
        ValueError: An address is malformed, or a bound is not a number.
    """
    value = msgspec.convert(raw, type=field.type)
    match value:
        case _Listen():
            for address in (value.outbound, value.readiness, value.control):
                read_address(address)
        case _Platform():
            read_address(value.address)
        case str() if field.name == "application":
            read_address(value)
        case list():
            _read_bounds(value)
        case _Limits(link_mbps=float() as rate) if rate < 0:
            raise ValueError(f"linkMbps={rate} is negative")


def _read_link_rate(limits: _Limits) -> float:
    """Returns the rate of the instance's link in bytes per millisecond."""
    link_mbps = limits.link_mbps or UNLIMITED_LINK_MBPS
    return link_mbps * BYTES_PER_MBIT / 1_000


def _read_memory(limits: _Limits) -> int:
    """Returns the memory of the process in bytes."""
    return int((limits.memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB)


def _read_bounds(texts: list[str]) -> Bounds:
    found = dict(text.partition("=")[::2] for text in texts)
    default = Bounds()

    def read(name: str, factor: float, fallback: float) -> float:
        if name not in found:
            return fallback
        try:
            value = float(found[name]) * factor
        except ValueError as error:
            raise ValueError(f"{name}={found[name]} is not a number") from error
        if not math.isfinite(value):
            raise ValueError(f"{name}={found[name]} is not a finite number")
        return value

    return Bounds(
        grace_ms=int(read("graceS", 1_000, default.grace_ms)),
        hold_max_ms=int(read("holdMaxMs", 1, default.hold_max_ms)),
        retry_ratio=read("retryBudgetRatio", 1, default.retry_ratio),
        retry_window_ms=int(
            read("budgetWindowS", 1_000, default.retry_window_ms)
        ),
        # The number of requests in one window, summed over all nodes.
        retry_extra_count=read(
            "budgetExtraRetries", 1, default.retry_extra_count
        ),
        cold_overage=read("coldOverage", 1, default.cold_overage),
        cold_slack_count=read("coldSlack", 1, default.cold_slack_count),
        evacuation_ms=int(read("evacuationMs", 1, default.evacuation_ms)),
    )

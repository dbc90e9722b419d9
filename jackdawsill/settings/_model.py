"""Typed process settings, validated by pydantic."""

from dataclasses import field
from enum import StrEnum
from ipaddress import ip_address
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    model_validator,
)
from pydantic.dataclasses import dataclass

MIN_FLEET_KEY_CHARS = 16
MAX_PORT = 65_535


class MetricsMode(StrEnum):
    """How metrics are exported."""

    SCRAPE = "scrape"
    PUSH = "push"
    OFF = "off"


class LogLevel(StrEnum):
    """Lowest log level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogStream(StrEnum):
    """Standard stream for log lines; hosts write no files."""

    STDERR = "stderr"
    STDOUT = "stdout"


def check_ip_address(value: str) -> str:
    """Return the normalized IP address; refuse unspecified and multicast ones."""
    try:
        address = ip_address(value)
    except ValueError:
        raise ValueError(f"{value!r} is not an IP address") from None
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"{value!r} is not an address that other hosts can connect to")
    return str(address)


def check_host_port(value: str) -> str:
    """Return `address:port` with a normalized IP address and a port from 1 to 65535."""
    address, colon, port = value.rpartition(":")
    if not colon or not (port.isascii() and port.isdecimal()):
        raise ValueError(f"{value!r} is not address:port")
    # Six digits show that a port is too large; `int` refuses very long numbers.
    if not 1 <= int(port[:6]) <= MAX_PORT:
        raise ValueError(f"port of {value!r} is not from 1 to {MAX_PORT}")
    if address.startswith("[") and address.endswith("]"):
        return f"[{check_ip_address(address[1:-1])}]:{int(port)}"
    if ":" in address:
        raise ValueError(f"IPv6 address of {value!r} must be in brackets")
    return f"{check_ip_address(address)}:{int(port)}"


def check_url(value: str) -> str:
    """Return an HTTP URL without a trailing slash; its host must be an IP address."""
    try:
        parts = urlsplit(value)
        host, port = parts.hostname, parts.port
    except ValueError as exc:
        raise ValueError(f"{value!r} is not a URL: {exc}") from None
    if parts.scheme not in ("http", "https") or not host:
        raise ValueError(f"{value!r} is not an http or https URL")
    if port == 0:
        raise ValueError(f"port of {value!r} is 0")
    check_ip_address(host)
    return value.rstrip("/")


def split_words(value: object) -> object:
    """Split a string at whitespace and commas; return other values unchanged."""
    return tuple(value.replace(",", " ").split()) if isinstance(value, str) else value


Name = Annotated[
    str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)
]
Port = Annotated[int, Field(ge=0, le=MAX_PORT)]
IpAddress = Annotated[str, AfterValidator(check_ip_address)]
HostPort = Annotated[str, AfterValidator(check_host_port)]
Url = Annotated[str, AfterValidator(check_url)]

# Errors must not contain the input, which may be the fleet key.
_DATACLASS_CONFIG = ConfigDict(
    extra="forbid", allow_inf_nan=False, hide_input_in_errors=True
)


@dataclass(slots=True, frozen=True, kw_only=True, config=_DATACLASS_CONFIG)
class HostSettings:
    """Identity and addresses of the process.

    Callers connect to `caller_port`, operators to `operator_port` and other hosts to
    `peer_port`; port 0 lets the kernel choose one. `fleet_key` is the secret with which
    the hosts of a fleet authenticate one another.
    """

    name: Name
    failure_domain: Name
    region: Name
    address: IpAddress
    caller_port: Port = 8080
    operator_port: Port = 8081
    peer_port: Port = 8082
    fleet_key: Annotated[str, Field(min_length=MIN_FLEET_KEY_CHARS)] = field(repr=False)

    @model_validator(mode="after")
    def check_ports(self) -> "HostSettings":
        """Refuse the same port for two listeners."""
        ports = [p for p in (self.caller_port, self.operator_port, self.peer_port) if p]
        if len(set(ports)) < len(ports):
            raise ValueError(
                "caller_port, operator_port and peer_port must differ unless 0"
            )
        return self


@dataclass(slots=True, frozen=True, kw_only=True, config=_DATACLASS_CONFIG)
class PlatformSettings:
    """URLs of the configuration service and the host list.

    `seeds` are `address:port` of the hosts to contact first.
    """

    config_url: Url
    host_list_url: Url
    seeds: Annotated[tuple[HostPort, ...], BeforeValidator(split_words)] = ()


@dataclass(slots=True, frozen=True, kw_only=True, config=_DATACLASS_CONFIG)
class LimitSettings:
    """Limits on the memory and time of one process.

    `max_body_bytes` limits the request of a caller, `max_answer_bytes` the answer of a
    replica. At most `max_running_queries` + `max_queued_queries` requests are in
    progress, on at most `max_caller_connections` connections.
    """

    max_body_bytes: Annotated[int, Field(ge=1_024, le=16_777_216)] = 262_144
    max_answer_bytes: Annotated[int, Field(ge=1_024, le=67_108_864)] = 1_048_576
    max_deadline_ms: Annotated[int, Field(ge=1, le=600_000)] = 30_000
    max_running_queries: Annotated[int, Field(ge=1, le=100_000)] = 2_000
    max_queued_queries: Annotated[int, Field(ge=0, le=100_000)] = 1_000
    max_caller_connections: Annotated[int, Field(ge=1, le=100_000)] = 10_000


@dataclass(slots=True, frozen=True, kw_only=True, config=_DATACLASS_CONFIG)
class MetricsSettings:
    """Whether metrics are scraped at the operators' port, pushed or off."""

    mode: MetricsMode = MetricsMode.SCRAPE
    push_url: Url | None = None
    push_interval_s: Annotated[float, Field(ge=1.0, le=3_600.0)] = 15.0

    @model_validator(mode="after")
    def check_push_url(self) -> "MetricsSettings":
        """Refuse push mode without a URL."""
        if self.mode is MetricsMode.PUSH and self.push_url is None:
            raise ValueError("mode = push needs push_url")
        return self


@dataclass(slots=True, frozen=True, kw_only=True, config=_DATACLASS_CONFIG)
class LogSettings:
    """Level and stream of the log."""

    level: LogLevel = LogLevel.INFO
    stream: LogStream = LogStream.STDERR


@dataclass(slots=True, frozen=True, kw_only=True, config=_DATACLASS_CONFIG)
class Settings:
    """All settings of one process, one attribute for each section."""

    host: HostSettings
    platform: PlatformSettings
    limits: LimitSettings = field(default_factory=LimitSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    logs: LogSettings = field(default_factory=LogSettings)

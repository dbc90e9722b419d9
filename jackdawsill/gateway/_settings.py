"""Settings of a gateway, loaded from one INI file and validated."""

import os
from pathlib import Path
from typing import Annotated, Any, get_type_hints

import msgspec

from jackdawsill.http1 import MAX_CONNECTIONS
from jackdawsill.ini import IniSection
from jackdawsill.ini_check import (
    BadSetting,
    MissingSetting,
    SettingsCollector,
    SettingsInvalid,
    UnreadableSettings,
)

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Addresses = Annotated[
    str, msgspec.Meta(pattern=r"^([0-9.]+:[0-9]{1,5}(,[0-9.]+:[0-9]{1,5})*)?$")
]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=10_000)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class GatewayHost(msgspec.Struct, frozen=True):
    """The host itself.

    `grace_s` is the time from the stop request to the kill. `link_mbps` is the
    bandwidth of the host's network link in Mbit/s; a host with a narrow one delegates
    fan-outs. `memory_mb` is the memory of the process, in MB of 10^6 bytes, which
    bounds what unfinished responses of replicas may take. Above `max_connections`
    connections of callers the one that is idle longest is closed.
    """

    name: Name
    failure_domain: Name
    grace_s: Seconds
    link_mbps: Annotated[float, msgspec.Meta(gt=0)]
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 128.0
    max_connections: Annotated[int, msgspec.Meta(gt=0)] = MAX_CONNECTIONS


class GatewayPorts(msgspec.Struct, frozen=True):
    """Addresses as ip:port, and a range of ports for traffic between gateways.

    The second port of the range, `inner_first` + 1, receives delegated calls; the
    others are not used. If `peers` is empty, the host does not listen for peers.
    """

    callers: Address
    health: Address
    peers: str
    inner_first: Port
    inner_last: Port


class GatewayStore(msgspec.Struct, frozen=True):
    """The platform's store, and the relays that follow it for the other hosts.

    `seeds` are the relays' addresses, separated by commas. `first_start` is true while
    the whole fleet starts for the first time; a host then waits longer for a relay
    before it follows the store itself.
    """

    address: Address
    seeds: Addresses = ""
    first_start: bool = False

    def seed_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the relays."""
        return tuple(seed for seed in self.seeds.split(",") if seed)


class GatewayCalls(msgspec.Struct, frozen=True):
    """Calls of callers.

    `caller_network_ms` is the time that a request and its reply spend in the network
    between caller and host, with the opening of the connection. The latency objective
    of each route is reduced by it.
    """

    caller_network_ms: Milliseconds


class GatewayRetries(msgspec.Struct, frozen=True):
    """Retry budget of the whole fleet for each service.

    In any `window_s` the fleet may send at most `ratio` * requests + `slack` extra
    attempts (retries and hedges).
    """

    ratio: Ratio
    slack: Annotated[float, msgspec.Meta(ge=0)]
    window_s: Seconds


class GatewayMetrics(msgspec.Struct, frozen=True):
    """Port of the metrics and status; the kernel chooses one if it is 0."""

    port: Port


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of a gateway."""

    host: GatewayHost
    ports: GatewayPorts
    store: GatewayStore
    calls: GatewayCalls
    retries: GatewayRetries
    metrics: GatewayMetrics
    # Failure domain -> region.
    regions: dict[str, str] = {}


SECTIONS: dict[str, type] = {
    "host": GatewayHost,
    "ports": GatewayPorts,
    "store": GatewayStore,
    "calls": GatewayCalls,
    "retries": GatewayRetries,
    "metrics": GatewayMetrics,
}
# The only section with arbitrary keys: the names of failure domains.
REGIONS = "regions"


def load_gateway_settings(
    path: str | os.PathLike[str], *, is_reload: bool = False
) -> GatewaySettings:
    """Return validated settings; raise `SettingsInvalid` with all problems.

    With `is_reload` the last line must be complete, because a file that replaces the
    one in use may still be being written.
    """
    collector = SettingsCollector(str(path))
    ini_file = collector.read(Path(path))
    if is_reload and not collector.problems and not _ends_with_newline(Path(path)):
        message = "the last line has no end; the file may be incomplete"
        collector.add(UnreadableSettings, message, 0, "")
    picked = collector.pick_sections(ini_file.sections, [*SECTIONS, REGIONS])
    loaded = {
        name: _load(name, picked.get(name, IniSection(name, 1)), collector)
        for name in SECTIONS
    }
    regions = {}
    if REGIONS in picked:
        entries = picked[REGIONS].entries
        regions = {key: entry.value for key, entry in entries.items()}
    if collector.problems:
        raise SettingsInvalid(collector.file, collector.problems)
    return GatewaySettings(**loaded, regions=regions)


def _ends_with_newline(path: Path) -> bool:
    """Return whether a file ends with a newline; False if it cannot be read."""
    try:
        return path.read_bytes().endswith(b"\n")
    except OSError:
        return False


def _load(name: str, section: IniSection, collector: SettingsCollector) -> Any:
    """Return the typed section, or None after reporting its problems."""
    section_type = SECTIONS[name]
    hints = get_type_hints(section_type, include_extras=True)
    values = collector.known_values(section, list(hints))
    loaded = {}
    n_before = len(collector.problems)
    for spec in msgspec.structs.fields(section_type):
        if spec.name not in values:
            if spec.required:
                message = f"key {spec.name!r} is missing"
                collector.add(MissingSetting, message, section.line, name)
            continue
        try:
            value = msgspec.convert(values[spec.name], hints[spec.name], strict=False)
        except msgspec.ValidationError as exc:
            line = section.entries[spec.name].line
            collector.add(BadSetting, f"{spec.name}: {exc}", line, name)
        else:
            loaded[spec.name] = value
    if len(collector.problems) > n_before:
        return None
    return section_type(**loaded)

"""Reload of the settings file: which changes apply at run time, and what is in use.

Each setting is either live, with a function that applies it, or needs a restart.
"""

import os
import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from jackdawsill.core import HostState
from jackdawsill.forwarding import (
    DelegateTable,
    ReplicaRegistry,
    RetryBudget,
)
from jackdawsill.gateway import _log_events as log_events
from jackdawsill.gateway._build import forwarding_policy
from jackdawsill.gateway._settings import GatewaySettings, load_gateway_settings
from jackdawsill.ini_check import SettingsInvalid
from jackdawsill.logs import log_event
from jackdawsill.relaying import UpdateFeed

# Applies the settings to the state of a running process; it must not raise.
Applier = Callable[[HostState, GatewaySettings], None]

# Setting, as section.key -> function that applies it.
LIVE_SETTINGS: dict[str, Applier] = {}
# Settings that take effect at the next start of the process.
RESTART_SETTINGS = frozenset(
    {
        "host.failure_domain",
        "host.max_connections",
        "host.memory_mb",
        "host.name",
        "metrics.port",
        "ports.callers",
        "ports.health",
        "ports.inner_first",
        "ports.inner_last",
        "ports.peers",
        "retries.window_s",
        "store.address",
    }
)
# Settings that differ from host to host; the others are equal in the whole fleet.
OWN_SETTINGS = frozenset(
    {
        "host.failure_domain",
        "host.link_mbps",
        "host.max_connections",
        "host.memory_mb",
        "host.name",
        "ports.callers",
        "ports.health",
        "ports.inner_first",
        "ports.inner_last",
        "ports.peers",
        "store.first_start",
    }
)


def live_setting(*names: str) -> Callable[[Applier], Applier]:
    """Return a decorator that registers the function that applies settings."""

    def decorate(applier: Applier) -> Applier:
        for name in names:
            LIVE_SETTINGS[name] = applier
        return applier

    return decorate


@live_setting("store.seeds", "store.first_start")
def apply_seeds(state: HostState, cfg: GatewaySettings) -> None:
    """Take over the relays; the first start matters only until updates arrive."""
    feed = state.component(UpdateFeed)
    feed.seeds = cfg.store.seed_addresses()
    feed.is_first_start = cfg.store.first_start


@live_setting("retries.ratio", "retries.slack")
def apply_retries(state: HostState, cfg: GatewaySettings) -> None:
    """Change the retry budget; what was spent in the window still counts."""
    budget = state.component(RetryBudget)
    budget.ratio = cfg.retries.ratio
    budget.slack = cfg.retries.slack


@live_setting("host.grace_s", "calls.caller_network_ms")
def apply_policy(state: HostState, cfg: GatewaySettings) -> None:
    """Change times of calls that arrive later, and of a later stop."""
    state.attach(forwarding_policy(cfg))


@live_setting("host.link_mbps")
def apply_link(state: HostState, cfg: GatewaySettings) -> None:
    """Change which calls are delegated, and whether this host is a delegate."""
    state.component(DelegateTable).link_mbps = cfg.host.link_mbps


@live_setting("regions")
def apply_regions(state: HostState, cfg: GatewaySettings) -> None:
    """Change the assumed distances of failure domains."""
    state.component(ReplicaRegistry).round_trips.regions = dict(cfg.regions)


def flat_settings(cfg: GatewaySettings) -> dict[str, Any]:
    """Return all settings by section.key; the regions are one setting."""
    flat: dict[str, Any] = {}
    for section, values in msgspec.to_builtins(cfg).items():
        if section == "regions":
            flat[section] = values
        else:
            flat.update({f"{section}.{key}": v for key, v in values.items()})
    return flat


def settings_digest(cfg: GatewaySettings) -> str:
    """Return a digest of the settings that all hosts of a fleet share."""
    shared = {k: v for k, v in flat_settings(cfg).items() if k not in OWN_SETTINGS}
    return f"{zlib.crc32(msgspec.json.encode(shared, order='sorted')):08x}"


def apply_live(state: HostState, cfg: GatewaySettings, names: set[str]) -> None:
    """Apply the named live settings."""
    for applier in {LIVE_SETTINGS[name] for name in names}:
        applier(state, cfg)


class SettingsFile:
    """Reload one settings file, and report what is in use and what was seen last.

    A file that is invalid or not completely written changes nothing. `clock` returns
    monotonic seconds.
    """

    __slots__ = (
        "_stat",
        "applied_at_",
        "cfg_",
        "clock",
        "file_digest_",
        "is_valid_",
        "path",
        "seen_at_",
        "state",
        "waiting_",
    )

    def __init__(
        self,
        path: str,
        cfg: GatewaySettings,
        state: HostState,
        clock: Callable[[], float],
    ) -> None:
        self.path = path
        self.state = state
        self.clock = clock
        # Settings in use: those of the start, with the live ones of later files.
        self.cfg_ = cfg
        self.applied_at_ = clock()
        self.file_digest_ = self._digest_file()
        self.seen_at_ = self.applied_at_
        self.is_valid_ = True
        # Settings of the newest file that take effect at the next start.
        self.waiting_: tuple[str, ...] = ()
        self._stat = self._stat_file()

    def has_changed(self) -> bool:
        """Return whether the file was written or replaced since the last call."""
        before, self._stat = self._stat, self._stat_file()
        return self._stat != before

    def reload(self) -> None:
        """Apply all live settings of the file at once, or none if it is invalid."""
        self.file_digest_ = self._digest_file()
        self.seen_at_ = self.clock()
        try:
            cfg = load_gateway_settings(self.path, is_reload=True)
        except SettingsInvalid as exc:
            self.is_valid_ = False
            for problem in exc.problems:
                self._log(log_events.RELOAD_REJECTED, detail=str(problem))
            return
        self.is_valid_ = True
        old, new = flat_settings(self.cfg_), flat_settings(cfg)
        changed = {name for name in new if old[name] != new[name]}
        live = {name for name in changed if name in LIVE_SETTINGS}
        self.waiting_ = tuple(sorted(changed - live))
        apply_live(self.state, cfg, live)
        if live:
            self.cfg_ = _merge(self.cfg_, cfg, live)
            self.applied_at_ = self.clock()
        self._log(
            log_events.GATEWAY_RELOADED,
            n_applied=len(live),
            n_waiting=len(self.waiting_),
            applied={name: [old[name], new[name]] for name in sorted(live)},
            waiting=list(self.waiting_),
        )

    def status(self) -> dict[str, Any]:
        """Return the status section "settings"."""
        now = self.clock()
        return {
            "digest": settings_digest(self.cfg_),
            "applied_s": round(now - self.applied_at_, 1),
            "file_digest": self.file_digest_,
            "file_seen_s": round(now - self.seen_at_, 1),
            "file_valid": self.is_valid_,
            "waiting": list(self.waiting_),
        }

    def _log(self, number: int, **fields: Any) -> None:
        log_event(
            number,
            host=self.state.name,
            digest=settings_digest(self.cfg_),
            file_digest=self.file_digest_,
            **fields,
        )

    def _digest_file(self) -> str | None:
        """Return a digest of the file's bytes, or None if it cannot be read."""
        try:
            with open(self.path, "rb") as file:
                return f"{zlib.crc32(file.read()):08x}"
        except OSError:
            # `reload` reports the reason when it loads the file.
            return None

    def _stat_file(self) -> tuple[int, ...]:
        try:
            stat = os.stat(self.path)
        except OSError:
            # The file is being replaced; the next check finds the new one.
            return ()
        return stat.st_mtime_ns, stat.st_ino, stat.st_size


def _merge(
    old: GatewaySettings, new: GatewaySettings, names: set[str]
) -> GatewaySettings:
    """Return the old settings with the named ones of the new settings."""
    sections: dict[str, Any] = {}
    for name in names:
        section, _, key = name.partition(".")
        if not key:
            sections[section] = getattr(new, section)
            continue
        value = getattr(getattr(new, section), key)
        base = sections.get(section, getattr(old, section))
        sections[section] = msgspec.structs.replace(base, **{key: value})
    return msgspec.structs.replace(old, **sections)

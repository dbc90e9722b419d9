"""Scenario: simulated hosts, and the operations that scripts and faults perform."""

import random
from collections.abc import Callable
from typing import Any

from jackdawsill.core import QueryArrived, StopRequested
from jackdawsill.exceptions import Outcome
from jackdawsill.matrix._backends import BackendNetwork
from jackdawsill.matrix._fakes import FakeBackend
from jackdawsill.matrix._journal import Attempt, HostOutage, OutageKind, Reply
from jackdawsill.matrix._sets import (
    TOKENS,
    add_repartition,
    first_set,
    move_caller,
    next_generation,
)
from jackdawsill.matrix._world import FakeHost, World
from jackdawsill.objects import ObjectSet

DOMAINS = ("bogota", "medellin", "cali")
# Time for all hosts to become ready, and for the world to recover from all faults.
STARTUP_S = 8.0
SETTLE_S = 14.0
QUERY_DEADLINE_S = 0.340
RESEND_AFTER_S = 0.6
HOST_RESTART_S = 3.0


class Scenario:
    """Three running hosts in a simulated world.

    `build` makes the state of a host process; `sets` maps generations to the published
    object sets.
    """

    def __init__(self, build: Callable[[World, FakeHost], object], seed: int) -> None:
        self.sets: dict[int, ObjectSet] = {}
        objects = first_set()
        backends = {
            name: FakeBackend(
                replica,
                n_slots=objects.groups[objects.services[replica.service].group].n_slots,
            )
            for name, replica in objects.replicas.items()
        }
        for backend in backends.values():
            backend.unservable.add("archivo-2")
        self.world = World(build, BackendNetwork(backends), seed)
        self.rng = random.Random(seed + 1)
        self.publish(objects)
        self.original_values: dict[tuple[int, str], Any] = {}
        self.n_requests = 0
        self.last_body = b"{}"
        for number, domain in enumerate(DOMAINS, start=1):
            self.world.start_host(f"h{number}", f"10.0.0.{number}:7000", domain)
        self.world.run_until(self.world.now + STARTUP_S)

    # Operators

    def publish(self, objects: ObjectSet) -> None:
        """Publish a set on the configuration service."""
        self.sets[objects.generation] = objects
        self.world.config.publish(objects)

    def newest(self) -> ObjectSet:
        """Return the set published last."""
        return self.sets[max(self.sets)]

    def publish_again(self) -> None:
        """Publish the newest set again under the next generation."""
        self.publish(next_generation(self.newest()))

    def publish_repartition(self) -> None:
        """Publish a snapshot with another shard map."""
        self.publish(add_repartition(next_generation(self.newest())))

    def publish_reorganisation(self) -> None:
        """Move the main caller to a department without access."""
        self.publish(move_caller(next_generation(self.newest())))

    def record_outage(
        self, host: FakeHost, kind: OutageKind, duration_s: float
    ) -> None:
        """Record that a fault isolates a host for a duration."""
        now = self.world.now
        outage = HostOutage(host.name, kind, now, now + duration_s)
        self.world.journal.outages.append(outage)

    def pause(self, host: FakeHost, duration_s: float) -> None:
        """Pause the process of a host."""
        self.record_outage(host, OutageKind.PAUSED, duration_s)
        self.world.pause(host, duration_s)

    def crash_host(self, host: FakeHost) -> None:
        """Crash a host; a new process replaces it after `HOST_RESTART_S`."""
        if not host.alive:
            return
        self.record_outage(host, OutageKind.LOST, HOST_RESTART_S)
        self.world.crash_process(host)
        self.world.after(
            HOST_RESTART_S,
            lambda: self.world.start_host(host.name, host.address, host.failure_domain),
        )

    def other_host(self, host: FakeHost) -> FakeHost | None:
        """Return a live host other than the given one."""
        others = [
            h for h in self.world.hosts.values() if h.alive and h.name != host.name
        ]
        return others[0] if others else None

    def partition_host(
        self, host: FakeHost, duration_s: float, from_platform: bool = True
    ) -> None:
        """Partition a host from its peers, and by default the platform, for a time."""
        self.record_outage(host, OutageKind.PARTITIONED, duration_s)
        self.world.after(duration_s, lambda: self.heal(host))
        for other in self.world.hosts:
            if other != host.name:
                self.world.partitions.add(frozenset((host.name, other)))
        if from_platform:
            self.world.hosts_without_config.add(host.name)

    def heal(self, host: FakeHost) -> None:
        """Undo `partition_host`."""
        self.world.partitions = {c for c in self.world.partitions if host.name not in c}
        self.world.hosts_without_config.discard(host.name)

    def stop(self, host: FakeHost) -> None:
        """Request a graceful stop of a host."""
        self.world.journal.stop_requested_at[host.name] = self.world.now
        self.world.fire("stop", host)
        self.world.feed(host, StopRequested())

    # Callers

    def current_body(self) -> bytes:
        """Return the body of the last request sent."""
        return self.last_body

    def query(self, host: FakeHost, caller: str = "ana") -> Attempt:
        """Send a new query to a host."""
        self.n_requests += 1
        body = f'{{"q":"dieline {self.n_requests}"}}'.encode()
        return self.send(host, caller, "search", body)

    def send(
        self,
        host: FakeHost,
        caller: str,
        route: str,
        body: bytes,
        ticket: str | None = None,
        after_wait: Callable[[Attempt, Reply | None], None] | None = None,
    ) -> Attempt:
        """Send one attempt of a request to a host.

        `after_wait` is called after `RESEND_AFTER_S` with the first reply, or None.
        """
        world = self.world
        self.last_body = body
        attempt = Attempt(caller, route, body, host.name, world.now, QUERY_DEADLINE_S)
        world.journal.attempts.append(attempt)
        world.fire("admit", host, None)
        if not host.alive:
            attempt.host_ended = True
        else:
            assert host.state is not None
            query_id = host.state.next_id()
            host.attempts[query_id] = attempt
            event = QueryArrived(
                query_id=query_id,
                request_id=f"r-{query_id}-{host.name}-{host.epoch}",
                route=route,
                token=TOKENS[caller],
                body=body,
                deadline_s=QUERY_DEADLINE_S,
                ticket=ticket,
            )
            world.feed(host, event)
        if after_wait is not None:
            world.after(
                RESEND_AFTER_S,
                lambda: after_wait(
                    attempt, attempt.replies[0] if attempt.replies else None
                ),
            )
        return attempt

    def send_order(self, n_resends: int = 4, host: FakeHost | None = None) -> bytes:
        """Send a not-repeatable request and resend it.

        The host refuses the first attempt and issues a ticket; the next attempts carry
        the ticket. A second one with the same ticket checks that the request runs once.
        The first attempt goes to `host`, or to a random ready host if it is None.
        """
        self.n_requests += 1
        body = f'{{"order":{self.n_requests}}}'.encode()
        self._send_order_attempt(body, None, n_resends, host)
        return body

    def _send_order_attempt(
        self,
        body: bytes,
        ticket: str | None,
        n_resends_left: int,
        host: FakeHost | None = None,
    ) -> None:
        host = host or self.pick_host()
        if host is None or n_resends_left < 0:
            return

        def after_wait(attempt: Attempt, reply: Reply | None) -> None:
            if reply is not None and reply.ticket is not None:
                self._send_order_attempt(body, reply.ticket, n_resends_left - 1)
                return
            unknown = reply is None or (
                reply.error is not None and reply.error.outcome is not Outcome.NOT_RUN
            )
            if ticket is not None and (unknown or n_resends_left > 2):
                # Resend with the same ticket to a random host. With more than 2 of 4
                # resends left this was the first attempt with a ticket, which is resent
                # even after an answer: it must not run the request again.
                self._send_order_attempt(body, ticket, n_resends_left - 1)

        self.send(host, "ana", "print-order", body, ticket, after_wait)

    def pick_host(self) -> FakeHost | None:
        """Return a random ready host, as a load balancer does, or None."""
        ready = [h for h in self.world.hosts.values() if h.alive and h.ready]
        return self.rng.choice(ready) if ready else None

    def finish(self) -> None:
        """Send the final queries that the invariant `recovery` checks.

        No more faults are injected, and temporary ones end within `SETTLE_S`. Poison
        has no end of its own and is cleared. Then each ready host gets one query.
        """
        world = self.world
        world.listeners.clear()
        world.run_until(world.now + SETTLE_S)
        for backend in world.backends.backends.values():
            backend.poison.clear()
        for host in list(world.hosts.values()):
            if host.alive and host.ready:
                world.journal.final.append(self.query(host, "kai"))
        world.run_until(world.now + 1.0)

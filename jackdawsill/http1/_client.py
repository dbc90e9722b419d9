"""Client that sends attempts to replicas over pools of connections."""

import asyncio
import time
from collections.abc import Callable

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    AbortAttempt,
    AttemptAnswered,
    AttemptFailed,
    DropReplicaConnections,
    RejectWaiting,
    ReplicaSpoke,
    SendAttempt,
    VerifyReplica,
    WarmReplicas,
    WithdrawUnsent,
)
from jackdawsill.http1._bounds import ResponseTooLarge
from jackdawsill.http1._connection import ReplicaConnection
from jackdawsill.http1._header_codec import BaseHeaderCodec
from jackdawsill.http1._pool import ReplicaPool

# Interval of the check for idle connections, which are closed IDLE_MARGIN_S (1 s)
# before the replica would close them.
IDLE_CHECK_INTERVAL_S = 1.0
# Default bound on the memory of all unfinished responses together.
MAX_HELD_BYTES = 32 * 1024 * 1024

OnAttemptEnd = Callable[[AttemptAnswered | AttemptFailed], None]
OnConnected = Callable[[str, float], None]


class ReplicaClient:
    """Carry out the effects for replicas: send and abort attempts, open and close.

    Each attempt that is not aborted ends in exactly one event, passed to
    `on_attempt_end`. `on_connected` gets the replica and the seconds that the
    connection took to open. `on_connect_failure` gets the replica, and whether it
    refused, when a connection opened in advance fails; if attempts wait for the
    connection, they fail instead.
    `on_spoke` gets what a replica says of itself in an answer, before the end of the
    attempt. Unfinished responses take at most `max_held_bytes` of memory together;
    beyond that the largest one fails.
    """

    def __init__(
        self,
        header_codec: BaseHeaderCodec,
        on_attempt_end: OnAttemptEnd,
        on_connected: OnConnected,
        on_connect_failure: Callable[[str, bool], None],
        clock: Callable[[], float] = time.monotonic,
        max_held_bytes: int = MAX_HELD_BYTES,
        on_spoke: Callable[[ReplicaSpoke], None] = lambda event: None,
    ) -> None:
        self.header_codec = header_codec
        self.on_attempt_end = on_attempt_end
        self.on_connected = on_connected
        self.on_connect_failure = on_connect_failure
        self.clock = clock
        self.max_held_bytes = max_held_bytes
        self.on_spoke = on_spoke
        self.n_held_bytes_ = 0
        # (replica, incarnation) -> pool
        self.pools_: dict[tuple[str, str], ReplicaPool] = {}
        # Pools of replicas whose address has changed, until they are empty.
        self.retired_pools_: list[ReplicaPool] = []
        self.connections_by_attempt_: dict[
            int, ReplicaConnection
        ] = {}  # sent attempts only
        self.pools_by_attempt_: dict[int, ReplicaPool] = {}
        self._tasks: set[asyncio.Task] = set()
        self._check_handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the periodic check for idle connections; needs a running loop."""
        self._close_expired()

    def stop(self) -> None:
        """Close all connections without reporting the attempts on them."""
        if self._check_handle is not None:
            self._check_handle.cancel()
        for task in self._tasks:
            task.cancel()
        for pool in (*self.pools_.values(), *self.retired_pools_):
            for conn in list(pool.connections):
                conn.attempt = None
                conn.close()

    def send(self, effect: SendAttempt) -> None:
        """Send an attempt, or queue it until its replica has a free connection."""
        pool = self._pool(effect.replica, effect.incarnation, effect.address)
        self.pools_by_attempt_[effect.attempt_id] = pool
        pool.submit(effect)

    def warm(self, effect: WarmReplicas) -> None:
        """Open a connection to each replica that has none."""
        for entry in effect.entries:
            self._pool(entry.name, entry.incarnation, entry.address).warm()

    def verify(self, effect: VerifyReplica) -> None:
        """Open a connection to a replica that may have ended."""
        entry = effect.entry
        self._pool(entry.name, entry.incarnation, entry.address).verify()

    def _pool(self, replica: str, incarnation: str, address: str) -> ReplicaPool:
        key = (replica, incarnation)
        pool = self.pools_.get(key)
        if pool is None or pool.address != address:
            if pool is not None:
                # It finishes its attempts, and then closes its connections.
                pool.retire()
                self.retired_pools_.append(pool)
            pool = self.pools_[key] = ReplicaPool(self, replica, address)
        return pool

    def abort(self, effect: AbortAttempt) -> None:
        """Close the connection of a sent attempt, or remove a queued one; no event."""
        conn = self.connections_by_attempt_.pop(effect.attempt_id, None)
        pool = self.pools_by_attempt_.pop(effect.attempt_id, None)
        if conn is not None:
            conn.attempt = None
            conn.pool.discard(conn)
        elif pool is not None:
            pool.remove_waiting(effect.attempt_id)

    def withdraw(self, effect: WithdrawUnsent) -> None:
        """End an attempt that waits for a connection."""
        attempt_id = effect.attempt_id
        pool = self.pools_by_attempt_.get(attempt_id)
        attempt = None if pool is None else pool.remove_waiting(attempt_id)
        if attempt is not None:
            detail = "not sent, the call has ended"
            outcome = AttemptFailed(attempt_id, FailureKind.CANCELLED, detail)
            self.report_end(attempt, outcome)

    def reject_waiting(self, effect: RejectWaiting) -> None:
        """Fail the attempts that wait for a connection to a replica."""
        pool = self.pools_.get((effect.replica, effect.incarnation))
        while pool is not None and pool.waiting:
            attempt = pool.waiting.popleft()
            detail = "not sent, the replica takes no requests now"
            outcome = AttemptFailed(attempt.attempt_id, FailureKind.DRAINING, detail)
            self.report_end(attempt, outcome)

    def close_idle(self, effect: DropReplicaConnections) -> None:
        """Close the idle connections to a replica."""
        for key in [k for k in self.pools_ if k[0] == effect.replica]:
            self.pools_[key].close_idle()

    def close_all_idle(self, effect: object = None) -> None:
        """Close all idle connections."""
        for pool in self.pools_.values():
            pool.close_idle()

    def report_end(
        self, attempt: SendAttempt, outcome: AttemptAnswered | AttemptFailed
    ) -> None:
        """Report the end of an attempt, unless it was aborted or has ended before."""
        self.connections_by_attempt_.pop(attempt.attempt_id, None)
        if self.pools_by_attempt_.pop(attempt.attempt_id, None) is not None:
            self.on_attempt_end(outcome)

    def hold(self, conn: ReplicaConnection, n_bytes: int) -> None:
        """Count bytes of an unfinished response, and keep all of them within the limit.

        Fails the largest unfinished response; raises ResponseTooLarge if it is that of
        `conn`.
        """
        conn.n_held_bytes += n_bytes
        self.n_held_bytes_ += n_bytes
        while self.n_held_bytes_ > self.max_held_bytes:
            conns = self.connections_by_attempt_.values()
            largest = max(conns, key=lambda c: c.n_held_bytes, default=conn)
            detail = "largest of the unfinished responses that exceed the memory limit"
            if largest.n_held_bytes <= conn.n_held_bytes:
                raise ResponseTooLarge(detail)
            largest.fail(FailureKind.BAD_ANSWER, detail)

    def start_task(self, coroutine) -> None:
        """Run a coroutine; the reference to its task keeps it from being collected."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def n_connections(self) -> int:
        """Return the number of open connections."""
        pools = (*self.pools_.values(), *self.retired_pools_)
        return sum(len(pool.connections) for pool in pools)

    def _close_expired(self) -> None:
        now = self.clock()
        for key, pool in list(self.pools_.items()):
            pool.close_expired(now)
            if pool.is_empty:
                del self.pools_[key]
        self.retired_pools_ = [p for p in self.retired_pools_ if not p.is_empty]
        loop = asyncio.get_running_loop()
        self._check_handle = loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_expired)

"""Attempts sent to replicas over pools of connections."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from jackdawsill.forwarding import (
    AbortAttempt,
    AttemptAnswered,
    AttemptFailed,
    DropReplicaConnections,
    SendAttempt,
    WarmReplicas,
)
from jackdawsill.http1._connection import ReplicaConnection
from jackdawsill.http1._header_codec import BaseHeaderCodec
from jackdawsill.http1._pool import ReplicaPool

# Idle connections are closed a second before the replica would, see IDLE_MARGIN_S.
SWEEP_S = 1.0

OnEnd = Callable[[AttemptAnswered | AttemptFailed], None]
OnConnected = Callable[[str, float], None]


class ReplicaClient:
    """Carry out `SendAttempt` and `AbortAttempt`; each send has one end event."""

    def __init__(
        self,
        header_codec: BaseHeaderCodec,
        on_end: OnEnd,
        on_connected: OnConnected,
        on_refused: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.header_codec = header_codec
        self.on_end = on_end
        self.on_connected = on_connected
        self.on_refused = on_refused
        self.clock = clock
        self.pools_: dict[tuple[str, str], ReplicaPool] = {}
        self.sent_: dict[int, ReplicaConnection] = {}
        self.waiting_: dict[int, ReplicaPool] = {}
        self._tasks: set[asyncio.Task] = set()
        self._sweeper: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to close idle connections."""
        self._sweep()

    def stop(self) -> None:
        """Close everything."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for task in self._tasks:
            task.cancel()
        for pool in self.pools_.values():
            for conn in list(pool.connections):
                conn.send = None
                conn.close()

    def send(self, effect: SendAttempt) -> None:
        """Send an attempt."""
        pool = self._pool(effect.replica, effect.incarnation, effect.address)
        self.waiting_[effect.attempt_id] = pool
        pool.submit(effect)

    def warm(self, effect: WarmReplicas) -> None:
        """Open a connection to each replica that has none."""
        for entry in effect.entries:
            self._pool(entry.name, entry.incarnation, entry.address).warm()

    def _pool(self, replica: str, incarnation: str, address: str) -> ReplicaPool:
        key = (replica, incarnation)
        pool = self.pools_.get(key)
        if pool is None or pool.address != address:
            pool = self.pools_[key] = ReplicaPool(self, replica, address)
        return pool

    def abort(self, effect: AbortAttempt) -> None:
        """Close the connection of an attempt, or take it out of the queue."""
        conn = self.sent_.pop(effect.attempt_id, None)
        pool = self.waiting_.pop(effect.attempt_id, None)
        if conn is not None:
            conn.send = None
            conn.pool.discard(conn)
        elif pool is not None:
            pool.waiting = deque(
                s for s in pool.waiting if s.attempt_id != effect.attempt_id
            )

    def drop(self, effect: DropReplicaConnections) -> None:
        """Close the idle connections to a replica."""
        for key in [k for k in self.pools_ if k[0] == effect.replica]:
            self.pools_[key].drop_idle()

    def drop_all_idle(self, effect: object = None) -> None:
        """Close all idle connections."""
        for pool in self.pools_.values():
            pool.drop_idle()

    def end(self, send: SendAttempt, end: AttemptAnswered | AttemptFailed) -> None:
        """Report the end of an attempt once."""
        self.sent_.pop(send.attempt_id, None)
        if self.waiting_.pop(send.attempt_id, None) is not None:
            self.on_end(end)

    def start_task(self, coroutine) -> None:
        """Run a coroutine and keep it from being collected."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def n_connections(self) -> int:
        """Return the number of open connections."""
        return sum(len(pool.connections) for pool in self.pools_.values())

    def _sweep(self) -> None:
        now = self.clock()
        for key, pool in list(self.pools_.items()):
            pool.sweep(now)
            if not (pool.connections or pool.waiting or pool.n_opening):
                del self.pools_[key]
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

"""Fake query handlers for tests of the daemon: send to all shards and merge."""

import hashlib
from unittest import mock

from jackdawsill.core import (
    HANDLERS,
    Answer,
    CallerDisconnected,
    CancelSub,
    Exit,
    MissingShard,
    QueryArrived,
    SendAnswer,
    SendRefusal,
    SendSub,
    SetReadiness,
    StopRequested,
    SubAnswered,
    SubFailed,
    Tick,
)
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.objects import (
    Caller,
    Department,
    Group,
    ObjectSet,
    Replica,
    Route,
    Service,
    Shard,
    Snapshot,
)

TOKEN = "token-1"


def object_set(addresses: list[str], *, repeatable: bool = True) -> ObjectSet:
    """Return an object set with one shard for each backend server address."""
    services, replicas, shards = {}, {}, []
    for index, address in enumerate(addresses):
        service, shard = f"archivo-{index:02d}", f"s{index:02d}"
        host, port = address.rsplit(":", 1)
        services[service] = Service(service, "archivo")
        name = f"{service}-a"
        replicas[name] = Replica(name, service, host, int(port), "bogota")
        shards.append(Shard(shard, service))
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    return ObjectSet(
        generation=1,
        digest="d1",
        departments={"diseno": Department("diseno")},
        callers={"ana": Caller("ana", "diseno", digest, classes=("public",))},
        groups={"archivo": Group("archivo", 2, 50, 6.0)},
        services=services,
        replicas=replicas,
        snapshots={"arc-1": Snapshot("arc-1", "archivo", 1, tuple(shards))},
        routes={
            "dielines": Route(
                "dielines", "archivo", ("diseno",), (), repeatable, 2000, ("public",)
            )
        },
    )


class FakeQueryHandlers:
    """Minimal replacement of the query component for one host in one test.

    It sends each query to all shards and merges the answers. `events` records failures
    and disconnected callers.
    """

    def __init__(self, timeout_s: float = 5.0) -> None:
        self.timeout_s = timeout_s
        self.queries: dict[int, dict] = {}
        self.subs: dict[int, tuple[int, str]] = {}
        self.events: list = []
        self.patch = mock.patch.dict(
            HANDLERS,
            {
                QueryArrived: [self.on_query],
                SubAnswered: [self.on_answered],
                SubFailed: [self.on_failed],
                CallerDisconnected: [self.on_disconnected],
                StopRequested: [lambda state, event, now: [Exit()]],
                Tick: [self.on_tick],
            },
            clear=True,
        )

    def on_tick(self, state, event, now):
        """Report readiness once."""
        if state.ready_ or state.objects_ is None:
            return []
        state.ready_ = True
        return [SetReadiness(True)]

    def on_query(self, state, event, now):
        """Send one sub-request for each shard."""
        objects = state.objects_
        route = objects.routes.get(event.route)
        if objects.caller_by_token(event.token) is None or route is None:
            return [SendRefusal(event.query_id, JackdawsillError("refused"))]
        snapshot = objects.snapshots_of(route.group)[0]
        query = {"event": event, "left": len(snapshot.shards), "ok": [], "bad": []}
        self.queries[event.query_id] = query
        effects = []
        for shard in snapshot.shards:
            replica = objects.replicas_of(shard.service)[0]
            sub_id = state.next_id()
            self.subs[sub_id] = (event.query_id, shard.name)
            effects.append(
                SendSub(
                    sub_id,
                    event.request_id,
                    replica.name,
                    f"{replica.address}:{replica.port}",
                    shard.name,
                    snapshot.name,
                    event.body,
                    self.timeout_s,
                    route.repeatable,
                    n_connections_max=4,
                )
            )
        return effects

    def on_answered(self, state, event, now):
        """Record an answer."""
        query_id, _ = self.subs.pop(event.sub_id)
        self.queries[query_id]["ok"].append(event)
        return self._on_sub_finished(query_id)

    def on_failed(self, state, event, now):
        """Record a failure."""
        self.events.append(event)
        query_id, shard = self.subs.pop(event.sub_id)
        self.queries[query_id]["bad"].append(MissingShard(shard, str(event.kind)))
        return self._on_sub_finished(query_id)

    def on_disconnected(self, state, event, now):
        """Cancel the sub-requests of a caller that disconnected."""
        self.events.append(event)
        return [CancelSub(s) for s, (q, _) in self.subs.items() if q == event.query_id]

    def _on_sub_finished(self, query_id):
        query = self.queries[query_id]
        query["left"] -= 1
        if query["left"]:
            return []
        del self.queries[query_id]
        answer = Answer(
            query["event"].request_id,
            query["event"].route,
            "arc-1",
            1,
            not query["bad"],
            tuple(sorted(a.shard for a in query["ok"])),
            tuple(query["bad"]),
            tuple(item for a in query["ok"] for item in a.items),
        )
        return [SendAnswer(query_id, answer)]

"""Merge the answers of the shards."""

from typing import Any

from jackdawsill.core import Answer, MissingShard
from jackdawsill.objects import Caller, ObjectSet, Route
from jackdawsill.query._model import MissingReason, Query, ShardTask


def merge(query: Query, caller: Caller, route: Route, objects: ObjectSet) -> Answer:
    """Return the answer of a query, with items in the order of the shards.

    `caller` and `route` are those of the newest object set. Items without a class, or
    of a class that the caller may not see, are left out.
    """
    visible = objects.visible_classes(caller, route)
    covered: list[str] = []
    missing: list[MissingShard] = []
    items: list[dict[str, Any]] = []
    for task in query.tasks:
        if task.items is None:
            missing.append(MissingShard(task.shard.name, missing_reason(query, task)))
            continue
        covered.append(task.shard.name)
        items += [item for item in task.items if _class_of(item) in visible]
    return Answer(
        query.request.request_id,
        query.route.name,
        query.snapshot.name,
        objects.generation,
        not missing,
        tuple(covered),
        tuple(missing),
        tuple(items),
    )


def missing_reason(query: Query, task: ShardTask) -> str:
    """Return why a shard is missing: a `MissingReason` or a failure kind."""
    if task.subs:
        return MissingReason.NO_ANSWER.value
    if task in query.awaiting_canary or task is query.canary:
        return MissingReason.SUSPECTED.value
    return str(task.reason)


def _class_of(item: Any) -> str | None:
    document_class = item.get("class") if isinstance(item, dict) else None
    return document_class if isinstance(document_class, str) else None

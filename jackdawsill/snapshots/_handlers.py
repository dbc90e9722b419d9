"""Reducer handlers that keep the snapshot table up to date."""

from jackdawsill.core import (
    Effect,
    HostState,
    LogEvent,
    PeerMessageRead,
    SetAccepted,
    handles,
)
from jackdawsill.membership import MemberTable
from jackdawsill.snapshots._log_events import SERVABLE_CHANGED
from jackdawsill.snapshots._messages import ServableNotice
from jackdawsill.snapshots._table import SnapshotTable


def broadcast_servable(state: HostState, group: str, now: float) -> list[Effect]:
    """Broadcast the newest servable snapshot of a group if it has changed."""
    newest = state.component(SnapshotTable).next_broadcast(group, state.objects_, now)
    if newest is None:
        return []
    notice = ServableNotice(group, newest.name, newest.version)
    fields = {"group": group, "snapshot": newest.name}
    return [
        LogEvent(SERVABLE_CHANGED, fields),
        *state.component(MemberTable).broadcast(notice),
    ]


@handles(PeerMessageRead, needs=SnapshotTable)
def on_servable_notice(
    state: HostState, event: PeerMessageRead, now: float
) -> list[Effect]:
    """Record a snapshot that a peer found servable; forward it if it is new here."""
    notice = event.message
    if not isinstance(notice, ServableNotice) or state.objects_ is None:
        return []
    table = state.component(SnapshotTable)
    if not table.on_notice(notice.group, notice.snapshot, state.objects_, now):
        return []
    fields = {"group": notice.group, "snapshot": notice.snapshot}
    return [
        LogEvent(SERVABLE_CHANGED, fields),
        *state.component(MemberTable).broadcast(notice),
    ]


@handles(SetAccepted, needs=SnapshotTable)
def on_set_accepted(state: HostState, event: SetAccepted, now: float) -> list[Effect]:
    """Drop snapshots that the new object set does not publish."""
    if state.objects_ is not None:
        state.component(SnapshotTable).prune(state.objects_)
    return []

"""Handlers that keep the snapshot table up to date."""

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


def announce_servable(state: HostState, group: str, now: float) -> list[Effect]:
    """Tell the linked hosts about a changed servable snapshot of a group."""
    newest = state.component(SnapshotTable).announce(group, state.objects_, now)
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
    """Learn a servable snapshot, and pass it on if it is news here."""
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
    """Forget snapshots that the new set does not publish."""
    if state.objects_ is not None:
        state.component(SnapshotTable).prune(state.objects_)
    return []

"""Log events of snapshots."""

from jackdawsill.logs import register_log_event

SERVABLE_CHANGED = register_log_event(
    2300,
    "servable_snapshot_changed",
    "queries of group {group} are answered from snapshot {snapshot}",
    "the newest snapshot that enough replicas of the group can serve has changed",
)

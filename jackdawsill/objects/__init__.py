"""Object sets of operators: model, INI files, checks, bundles and differences."""

from jackdawsill.objects._advice import Advice
from jackdawsill.objects._bundle import (
    MANIFEST_KEY,
    Bundle,
    Manifest,
    ManifestEntry,
    bundle,
    bundle_set,
    check_value,
    load_bundle,
    read_manifest,
)
from jackdawsill.objects._check import CheckedSet, check_change, check_set
from jackdawsill.objects._diff import (
    Action,
    CallerChange,
    KeyChange,
    ObjectChange,
    RouteClass,
    SetDiff,
    diff,
)
from jackdawsill.objects._draft import Place
from jackdawsill.objects._errors import (
    BadGeneration,
    BundleInvalid,
    BundleTooLarge,
    ObjectProblem,
    SetInvalid,
)
from jackdawsill.objects._log_events import BUNDLE_INVALID, SET_INVALID
from jackdawsill.objects._model import (
    Caller,
    Department,
    Group,
    Objective,
    ObjectSet,
    Replica,
    Route,
    Service,
    Shard,
    Snapshot,
)

__all__ = [
    "BUNDLE_INVALID",
    "MANIFEST_KEY",
    "SET_INVALID",
    "Action",
    "Advice",
    "BadGeneration",
    "Bundle",
    "BundleInvalid",
    "BundleTooLarge",
    "Caller",
    "CallerChange",
    "CheckedSet",
    "Department",
    "Group",
    "KeyChange",
    "Manifest",
    "ManifestEntry",
    "ObjectChange",
    "ObjectProblem",
    "ObjectSet",
    "Objective",
    "Place",
    "Replica",
    "Route",
    "RouteClass",
    "Service",
    "SetDiff",
    "SetInvalid",
    "Shard",
    "Snapshot",
    "bundle",
    "bundle_set",
    "check_change",
    "check_set",
    "check_value",
    "diff",
    "load_bundle",
    "read_manifest",
]

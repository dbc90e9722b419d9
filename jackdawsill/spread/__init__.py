"""Configuration distribution: brings every host to the newest object set.

Hosts download object sets from their peers or from the configuration service, and
accept only higher generations, so a host never goes back to an older set.
"""

from jackdawsill.spread import _handlers, _views  # noqa: F401 - registers both
from jackdawsill.spread._config_sync import ConfigSync, LoadBundle
from jackdawsill.spread._errors import InvalidManifest, SetNotAcceptable
from jackdawsill.spread._joining import JoinState
from jackdawsill.spread._manifest import (
    MANIFEST_KEY,
    Manifest,
    ValueRef,
    parse_manifest,
)
from jackdawsill.spread._messages import (
    CHUNK_BYTES,
    GenerationNotice,
    ManifestReply,
    ManifestRequest,
    ValueChunk,
    ValueRequest,
)
from jackdawsill.spread._service_reader import ServiceReader

__all__ = [
    "CHUNK_BYTES",
    "MANIFEST_KEY",
    "ConfigSync",
    "GenerationNotice",
    "InvalidManifest",
    "JoinState",
    "LoadBundle",
    "Manifest",
    "ManifestReply",
    "ManifestRequest",
    "ServiceReader",
    "SetNotAcceptable",
    "ValueChunk",
    "ValueRef",
    "ValueRequest",
    "parse_manifest",
]

"""Spread of configuration: newest accepted set on all hosts, never reverting."""

from jackdawsill.spread import _handlers, _views  # noqa: F401 - registers both
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
from jackdawsill.spread._service import ServiceReader
from jackdawsill.spread._spread import ConfigSync, LoadBundle

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

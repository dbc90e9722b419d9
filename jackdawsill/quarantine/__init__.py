"""Requests that crash backend servers: suspicion, canaries and refusal."""

from jackdawsill.quarantine._quarantine import Quarantine, Verdict, fingerprint

__all__ = ["Quarantine", "Verdict", "fingerprint"]

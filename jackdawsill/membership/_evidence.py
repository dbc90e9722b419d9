"""Evidence of lost hosts: reports of members that get no answer from them."""

EVIDENCE_NEEDED = 2  # reports by different hosts
# A report expires unless it is repeated; reporters repeat it every `REPORT_INTERVAL_S`.
EVIDENCE_TTL_S = 10.0
REPORT_INTERVAL_S = 3.0
# Time for a suspect that is alive to receive the evidence and refute it.
REFUTATION_WAIT_S = 1.0


class EvidenceTable:
    """Reports by suspect and reporter, and since when they are sufficient."""

    __slots__ = ("reports_", "sufficient_since_")

    def __init__(self) -> None:
        # Suspect -> reporter -> time of the last report.
        self.reports_: dict[str, dict[str, float]] = {}
        self.sufficient_since_: dict[str, float] = {}  # by suspect

    def add(self, suspect: str, reporter: str, now: float) -> bool:
        """Record a report; return whether it is new and was still needed."""
        reports = self.reports_.setdefault(suspect, {})
        known = reporter in reports
        if not known and len(reports) >= EVIDENCE_NEEDED:
            return False
        reports[reporter] = now
        return not known

    def n_reports(self, suspect: str) -> int:
        """Return the number of hosts with a report about a suspect."""
        return len(self.reports_.get(suspect, ()))

    def is_reporter(self, suspect: str, reporter: str) -> bool:
        """Return whether a report of `reporter` about the suspect is recorded."""
        return reporter in self.reports_.get(suspect, ())

    def clear(self, suspect: str) -> None:
        """Drop all reports about a suspect."""
        self.reports_.pop(suspect, None)
        self.sufficient_since_.pop(suspect, None)

    def withdraw(self, suspect: str, reporter: str) -> None:
        """Drop the report of one host about a suspect."""
        reports = self.reports_.get(suspect)
        if reports is None or reports.pop(reporter, None) is None:
            return
        self.sufficient_since_.pop(suspect, None)
        if not reports:
            del self.reports_[suspect]

    def withdraw_all(self, reporter: str) -> None:
        """Drop every report of one host."""
        for suspect in [s for s, r in self.reports_.items() if reporter in r]:
            self.withdraw(suspect, reporter)

    def expire(self, now: float) -> None:
        """Drop the reports that were not repeated within `EVIDENCE_TTL_S`."""
        for suspect, reports in list(self.reports_.items()):
            for reporter, at in list(reports.items()):
                if now - at > EVIDENCE_TTL_S:
                    self.withdraw(suspect, reporter)

    def is_sufficient(self, suspect: str, n_needed: int, now: float) -> bool:
        """Return whether enough reports have stood for `REFUTATION_WAIT_S`."""
        if self.n_reports(suspect) < n_needed:
            self.sufficient_since_.pop(suspect, None)
            return False
        since = self.sufficient_since_.setdefault(suspect, now)
        return now - since >= REFUTATION_WAIT_S

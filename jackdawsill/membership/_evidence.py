"""Reports of hosts that get no answer from other hosts."""

EVIDENCE_NEEDED = 2
# A report that is not repeated is void; reporters repeat it every `REPORT_S`.
EVIDENCE_TTL_S = 10.0
REPORT_S = 3.0
# A suspect that is alive hears of the evidence and refutes it within this time.
REFUTE_WAIT_S = 1.0


class EvidenceTable:
    """Hold which hosts reported which suspects, and since when it is enough."""

    __slots__ = ("enough_since_", "reports_")

    def __init__(self) -> None:
        self.reports_: dict[str, dict[str, float]] = {}
        self.enough_since_: dict[str, float] = {}

    def add(self, suspect: str, reporter: str, now: float) -> bool:
        """Record a report; tell whether it is one of the first that are needed."""
        reports = self.reports_.setdefault(suspect, {})
        known = reporter in reports
        if not known and len(reports) >= EVIDENCE_NEEDED:
            return False
        reports[reporter] = now
        return not known

    def n_reports(self, suspect: str) -> int:
        """Return the number of hosts that reported a suspect."""
        return len(self.reports_.get(suspect, ()))

    def is_reporter(self, suspect: str, reporter: str) -> bool:
        """Tell whether `reporter` reported the suspect."""
        return reporter in self.reports_.get(suspect, ())

    def clear(self, suspect: str) -> None:
        """Drop all reports about a suspect."""
        self.reports_.pop(suspect, None)
        self.enough_since_.pop(suspect, None)

    def withdraw(self, suspect: str, reporter: str) -> None:
        """Drop the report of one host about a suspect."""
        reports = self.reports_.get(suspect)
        if reports is None or reports.pop(reporter, None) is None:
            return
        self.enough_since_.pop(suspect, None)
        if not reports:
            del self.reports_[suspect]

    def withdraw_all(self, reporter: str) -> None:
        """Drop every report of one host."""
        for suspect in [s for s, r in self.reports_.items() if reporter in r]:
            self.withdraw(suspect, reporter)

    def expire(self, now: float) -> None:
        """Drop the reports that were not repeated in time."""
        for suspect, reports in list(self.reports_.items()):
            for reporter, at in list(reports.items()):
                if now - at > EVIDENCE_TTL_S:
                    self.withdraw(suspect, reporter)

    def convincing(self, suspect: str, n_needed: int, now: float) -> bool:
        """Tell whether enough reports have stood for `REFUTE_WAIT_S`."""
        if self.n_reports(suspect) < n_needed:
            self.enough_since_.pop(suspect, None)
            return False
        since = self.enough_since_.setdefault(suspect, now)
        return now - since >= REFUTE_WAIT_S

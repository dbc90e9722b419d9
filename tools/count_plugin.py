"""nose2 plugin that counts outcomes per test."""

from nose2 import events, result


class TestCounts(events.Plugin):
    """Record which tests passed, failed and were skipped."""

    alwaysOn = True
    configSection = "test-counts"
    instance: "TestCounts | None" = None

    def __init__(self) -> None:
        self.failed: set[str] = set()
        self.skipped: set[str] = set()
        self.finished: set[str] = set()
        type(self).instance = self

    def add(self, other: "TestCounts") -> None:
        """Add the outcomes of another run."""
        self.failed |= other.failed
        self.skipped |= other.skipped
        self.finished |= other.finished

    def stopTest(self, event: events.StopTestEvent) -> None:
        """Count one finished test."""
        self.finished.add(event.test.id())

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Record a failure or a skip; failed imports count as failures."""
        # A subtest belongs to the test that holds it.
        test_id = getattr(event.test, "test_case", event.test).id()
        if event.outcome == result.SKIP:
            self.skipped.add(test_id)
        elif event.exc_info is not None:
            if not event.expected:
                self.failed.add(test_id)
        elif event.outcome == result.PASS and not event.expected:
            # A test marked as an expected failure passed.
            self.failed.add(test_id)

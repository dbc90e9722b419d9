"""nose2 plugin that collects the ids of finished, failed and skipped tests."""

from nose2 import events, result


class TestCounts(events.Plugin):
    """Outcomes by test id; the last instance is kept in `instance`."""

    alwaysOn = True
    configSection = "test-counts"
    instance: "TestCounts | None" = None

    def __init__(self) -> None:
        self.failed: set[str] = set()
        self.skipped: set[str] = set()
        self.finished: set[str] = set()
        type(self).instance = self

    def merge(self, other: "TestCounts") -> None:
        """Merge the outcomes of another run into this one."""
        self.failed |= other.failed
        self.skipped |= other.skipped
        self.finished |= other.finished

    def stopTest(self, event: events.StopTestEvent) -> None:
        """Record a finished test."""
        self.finished.add(event.test.id())

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Record a failure or a skip; an import error counts as a failure."""
        # The outcome of a subtest is counted for the test that contains it.
        test_id = getattr(event.test, "test_case", event.test).id()
        if event.outcome == result.SKIP:
            self.skipped.add(test_id)
        elif event.exc_info is not None:
            if not event.expected:
                self.failed.add(test_id)
        elif event.outcome == result.PASS and not event.expected:
            # A test marked as an expected failure that passes counts as failed.
            self.failed.add(test_id)

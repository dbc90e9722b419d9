"""nose2 plugin that records the outcome of each test."""

from nose2 import events, result


class TestOutcomes(events.Plugin):
    """Ids of the tests that finished, failed or were skipped.

    nose2 creates the plugin, so `instance` keeps the last one for `run_tests`.
    """

    alwaysOn = True
    configSection = "test-counts"
    instance: "TestOutcomes | None" = None

    def __init__(self) -> None:
        self.failed: set[str] = set()
        self.skipped: set[str] = set()
        self.finished: set[str] = set()
        type(self).instance = self

    def add(self, other: "TestOutcomes") -> None:
        """Merge the outcomes of another run into this one."""
        self.failed |= other.failed
        self.skipped |= other.skipped
        self.finished |= other.finished

    def stopTest(self, event: events.StopTestEvent) -> None:
        """Record that a test finished."""
        self.finished.add(event.test.id())

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Record a failure or a skip; an import that fails counts as a failure."""
        # The outcome of a subtest counts for the test that contains it.
        test_id = getattr(event.test, "test_case", event.test).id()
        if event.outcome == result.SKIP:
            self.skipped.add(test_id)
        elif event.exc_info is not None:
            if not event.expected:
                self.failed.add(test_id)
        elif event.outcome == result.PASS and not event.expected:
            # Unexpected success of a test marked as an expected failure.
            self.failed.add(test_id)

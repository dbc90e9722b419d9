"""Tests of the differences between object sets."""

from jackdawsill.objects import (
    Action,
    CallerChange,
    KeyChange,
    ObjectChange,
    RouteClass,
    check_set,
    diff,
)
from jackdawsill.objects.tests.sets import SetTestCase


class TestDiff(SetTestCase):
    """Guards the differences that operators review before a publication."""

    def diff(self, *changes, extra=""):
        old = check_set(self.write()).objects
        return diff(old, check_set(self.write(*changes, extra=extra)).objects)

    def test_equal_sets_do_not_differ(self):
        """Guards against a difference that is reported for equal sets."""
        found = self.diff()
        self.assertEqual((found.objects, found.callers), ((), ()))

    def test_lost_class_names_the_caller(self):
        """Guards against not reporting a caller that loses a class."""
        found = self.diff(("classes = draft proof", "classes = proof"))
        key = KeyChange("classes", ("draft", "proof"), ("proof",))
        change = ObjectChange("caller", "studio", Action.CHANGED, (key,))
        self.assertEqual(found.objects, (change,))
        lost = (RouteClass("search", "draft"),)
        expected = CallerChange("studio", Action.CHANGED, classes_lost=lost)
        self.assertEqual(found.callers, (expected,))

    def test_lost_department_names_every_caller(self):
        """Guards against a diff without callers that lose a route by its change."""
        found = self.diff(("departments = design", "callers = printer"))
        classes = (RouteClass("search", "draft"), RouteClass("search", "proof"))
        expected = CallerChange(
            "studio", None, routes_lost=("search",), classes_lost=classes
        )
        self.assertEqual(found.callers, (expected,))

    def test_added_and_removed_objects(self):
        """Guards against a diff without added or removed objects."""
        extra = (
            "[caller new]\ndepartment = design\nclasses = proof\n"
            f"token_sha256 = {'c' * 64}\n"
        )
        found = self.diff(("[replica a2-x]", "[replica a2-y]"), extra=extra)
        self.assertEqual(
            [(c.name, c.action) for c in found.objects],
            [("new", "added"), ("a2-x", "removed"), ("a2-y", "added")],
        )
        self.assertEqual(found.callers[0].routes_gained, ("search",))

    def test_route_and_weight_changes_list_the_affected_callers(self):
        """Guards against a diff without callers affected by a deadline or a weight."""
        found = self.diff(("deadline_ms = 340", "deadline_ms = 500"))
        self.assertEqual([c.routes_changed for c in found.callers], [("search",)] * 2)
        found = self.diff(("weight = 2", "weight = 3"))
        self.assertEqual([c.weight_changed for c in found.callers], [True, True])
        found = self.diff(("slots = 2", "slots = 3"))
        self.assertEqual((found.objects[0].keys[0].key, found.callers), ("slots", ()))

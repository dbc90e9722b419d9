"""Tests of the check of whole object sets."""

import hashlib
import tempfile
from pathlib import Path

from jackdawsill.core import Policy
from jackdawsill.objects import SetInvalid, Shard, check_change, check_set
from jackdawsill.objects._draft import MAX_SUGGESTIONS
from jackdawsill.objects.tests.sets import SetTestCase

ROOT = Path(__file__).parents[3]
EMPTY_DIGEST = hashlib.sha256(b"").hexdigest()

# Name, replaced text, its replacement, codes of the expected errors in `_errors`.
INVALID_SETS = (
    ("unknown kind", "[replica a1-x]", "[replca a1-x]", [1103, 1114]),
    ("no name", "[service a2]", "[service]", [1102, 1110, 1110]),
    ("bad name", "[service a2]", "[service a/2]", [1102, 1110, 1110]),
    ("unknown key", "leaving = no", "leving = no", [1104]),
    ("repeated key", "port = 80\n", "port = 80\nport = 81\n", [1105, 1105]),
    ("repeated object", "[service a2]", "[service a1]", [1106, 1110, 1110]),
    ("missing key", "classes = draft, proof\n", "", [1107]),
    ("line without value", "leaving = no", "leaving", [1101]),
    ("not an integer", "port = 80", "port = http", [1108, 1108]),
    ("not a boolean", "leaving = no", "leaving = maybe", [1108]),
    ("not a policy", "policy = coverage", "policy = coverag", [1108]),
    ("not finite", "weight = 2", "weight = inf", [1108]),
    ("bad pair", "s2:a2", "s2", [1108]),
    ("bad port", "port = 80", "port = 70000", [1109, 1109]),
    ("zero weight", "weight = 2", "weight = 0", [1109]),
    ("negative slots", "slots = 2", "slots = -2", [1109]),
    ("target of 0", "latency_target = 0.99", "latency_target = 0", [1109]),
    ("late objective", "latency_ms = 340", "latency_ms = 341", [1109]),
    ("short token", "a" * 64, "a" * 63, [1109]),
    ("empty token", "a" * 64, EMPTY_DIGEST, [1109]),
    ("no classes", "classes = proof", "classes =", [1109]),
    ("bad shard name", "s2:a2", "s/2:a2", [1109]),
    ("no shards", "s1:a1\n    s2:a2", "", [1109]),
    (
        "unknown department",
        "department = design",
        "department = dsign",
        [1119, 1110, 1110],
    ),
    ("unknown service", "s2:a2", "s2:a9", [1110]),
    ("unknown route", "route = search", "route = serch", [1110]),
    ("host name", "address = 10.0.0.1", "address = localhost", [1111]),
    ("any address", "address = 10.0.0.1", "address = 0.0.0.0", [1111]),
    ("shared token", "B" * 64, "A" * 64, [1112]),
    ("shared address", "address = 10.0.0.2", "address = 10.0.0.1", [1113]),
    ("no replica", "service = a2", "service = a1", [1114]),
    ("all leaving", "leaving = no", "leaving = yes", [1114]),
    ("repeated shard", "s2:a2", "s1:a2", [1116]),
    ("unserved class", "classes = proof", "classes = proofs", [1120]),
    ("nothing visible", "classes = draft, proof", "classes = x", [1121] + [1120] * 3),
    ("nobody entitled", "departments = design\n", "", [1119]),
    ("repeated entry", "classes = proof", "classes = proof proof", [1124]),
    ("not repeatable", "deadline_ms = 340", "repeatable = no", [1122, 1122]),
)

OTHER_GROUP = """\
[group other]
slots = 1
max_connections = 1
connect_ms = 0
[service o1]
group = other
[replica o1-x]
service = o1
address = ::1
port = 1
failure_domain = cali
"""


class TestCheckSet(SetTestCase):
    """Guards the check before every publication."""

    def problems(self, *changes, extra=""):
        with self.assertRaises(SetInvalid) as caught:
            check_set(self.write(*changes, extra=extra))
        return caught.exception.problems

    def test_values_are_converted(self):
        """Guards against values that stay text and defaults that are not applied."""
        checked = check_set(self.write())
        objects = checked.objects
        self.assertIs(objects.callers["studio"].policy, Policy.COVERAGE)
        self.assertIs(objects.callers["printer"].policy, Policy.LATENCY)
        self.assertEqual(objects.callers["printer"].token_sha256, "b" * 64)
        self.assertEqual(
            objects.snapshots["v1"].shards, (Shard("s1", "a1"), Shard("s2", "a2"))
        )
        self.assertEqual(objects.routes["search"].classes, ("draft", "proof"))
        self.assertEqual(checked.places["replica", "a2-x"].line, 14)

    def test_each_invalid_set_has_its_error_codes(self):
        """Guards against an error that is not reported, or hidden by another one."""
        for name, old, new, codes in INVALID_SETS:
            with self.subTest(name):
                problems = self.problems((old, new))
                self.assertCountEqual([p.code for p in problems], codes, problems)

    def test_all_errors_name_file_line_object_and_code(self):
        """Guards against errors that are missing, or without file, line and hint."""
        problems = self.problems(
            ("group = archive\ndepartments", "group = archve\ndepartments"),
            ("port = 80\nfailure_domain = cali", "prt = 80\nfailure_domain = cali"),
        )
        texts = [str(p).partition("routes.ini")[2] or str(p) for p in problems]
        self.assertEqual(
            texts[0],
            ":2: [route search] JDS-1110 group names group 'archve', which is not in "
            "the set; did you mean 'archive'?",
        )
        self.assertEqual(
            [(p.line, p.code) for p in problems[1:]], [(14, 1107), (17, 1104)]
        )
        self.assertIn("did you mean 'port'?", problems[2].message)
        self.assertTrue(problems[1].file.endswith("servers.ini"))

    def test_snapshots_of_groups_are_separate(self):
        """Guards against queries that are sent to services of another group.

        The second snapshot also repeats a version; the two errors come in any order.
        """
        second = "[snapshot v2]\ngroup = archive\nversion = 1\nshards = s1:o1 s2:o1\n"
        codes = [p.code for p in self.problems(extra=OTHER_GROUP + second)]
        self.assertEqual(codes, [1115, 1117][:: 1 if codes[0] == 1115 else -1])

    def test_route_needs_a_snapshot_and_a_single_service(self):
        """Guards against routes that cannot be served."""
        route = "[route r]\ngroup = other\ncallers = studio\nclasses = draft\n"
        problems = self.problems(extra=OTHER_GROUP + route)
        self.assertEqual([p.code for p in problems], [1118])
        snapshot = "[snapshot o]\ngroup = other\nversion = 1\nshards = s1:o1\n"
        extra = OTHER_GROUP + route + "repeatable = no\n" + snapshot
        check_set(self.write(extra=extra))

    def test_ipv6_spellings_are_one_address(self):
        """Guards against counting one replica twice under two spellings."""
        same = OTHER_GROUP.partition("[replica")[2].replace("::1", "0:0:0:0:0:0:0:1")
        extra = OTHER_GROUP + "[replica" + same.replace("o1-x", "o1-y")
        self.assertEqual([p.code for p in self.problems(extra=extra)], [1113])

    def test_number_of_suggestions_is_limited(self):
        """Guards against a check that takes minutes to compare thousands of names."""
        services = "".join(f"[service b{n}]\ngroup = archve\n" for n in range(60))
        problems = self.problems(extra=services)
        hints = [p for p in problems if "did you mean" in p.message]
        self.assertEqual(len(hints), MAX_SUGGESTIONS)
        self.assertEqual(len(problems), 120)

    def test_an_error_is_one_line(self):
        """Guards against values with line breaks that split an error."""
        problems = self.problems(("service = a2", "service = a2\n  a1"))
        self.assertNotIn("\n", str(problems[0]) + str(problems[1]))

    def test_unreadable_input_is_reported(self):
        """Guards against tracebacks for empty or missing directories and bad UTF-8."""
        with tempfile.TemporaryDirectory() as folder:
            for path, code in ((folder, 1123), (folder + "/none", 1101)):
                with self.assertRaises(SetInvalid) as caught:
                    check_set(path)
                self.assertEqual([p.code for p in caught.exception.problems], [code])
        directory = self.write()
        directory.joinpath("bad.ini").write_bytes(b"[service x]\n\xff\n")
        with self.assertRaises(SetInvalid) as caught:
            check_set(directory)
        self.assertEqual([p.line for p in caught.exception.problems], [2])

    def test_warnings_leave_the_set_valid(self):
        """Guards against a warning that is not given, or makes the set invalid."""
        checked = check_set(self.write(extra=OTHER_GROUP))
        self.assertCountEqual(
            [advice.section for advice in checked.advice],
            ["group other", "service a1", "service a2", "service o1", "service o1"],
        )
        change = ("departments = design", "callers = printer")
        checked = check_set(self.write(change))
        messages = {a.section: a.message for a in checked.advice}
        self.assertIn("class draft", messages["route search"])
        self.assertIn("no route", messages["caller studio"])

    def test_published_snapshots_do_not_change(self):
        """Guards against two shard maps of one snapshot in the fleet."""
        old = check_set(self.write()).objects
        check_change(old, check_set(self.write(("[snapshot v1]", "[snapshot v2]"))))
        checked = check_set(self.write(("s2:a2", "s2:a1")))
        with self.assertRaises(SetInvalid) as caught:
            check_change(old, checked)
        (problem,) = caught.exception.problems
        self.assertEqual((problem.code, problem.line), (1125, 20))

    def test_examples_are_valid(self):
        """Guards against examples that operators cannot publish."""
        for name in ("envases", "karoo"):
            self.assertEqual(check_set(ROOT / "examples" / name).advice, ())

"""A small valid object set that tests modify."""

import tempfile
import unittest
from pathlib import Path

FILES = {
    "people.ini": """\
[department design]
weight = 2
[caller studio]
department = design
token_sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
policy = coverage
classes = draft proof
[caller printer]
department = design
token_sha256 = BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB
classes = proof
""",
    "servers.ini": """\
[group archive]
slots = 2
max_connections = 50
connect_ms = 6
[service a1]
group = archive
[service a2]
group = archive
[replica a1-x]
service = a1
address = 10.0.0.1
port = 80
failure_domain = bogota
[replica a2-x]
service = a2
address = 10.0.0.2
port = 80
failure_domain = cali
leaving = no
[snapshot v1]
group = archive
version = 1
shards = s1:a1
    s2:a2
""",
    "routes.ini": """\
[route search]
group = archive
departments = design
deadline_ms = 340
classes = draft, proof
[objective search]
route = search
latency_ms = 340
latency_target = 0.99
coverage_target = 0.99
extra_load_target = 0.05
""",
}


class SetTestCase(unittest.TestCase):
    """Base of tests that write an object set to a temporary directory."""

    def write(self, *changes: tuple[str, str], extra: str = "") -> Path:
        """Write the set with each (old, new) replaced, and return its directory."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        files = dict(FILES)
        for old, new in changes:
            self.assertTrue(any(old in text for text in files.values()), old)
            files = {name: text.replace(old, new) for name, text in files.items()}
        files["extra.ini"] = extra
        for name, text in files.items():
            Path(folder.name, name).write_text(text, encoding="utf-8")
        return Path(folder.name)

"""Links between relays that carry nothing any more, without being closed."""

import unittest

from jackdawsill.core import PauseDetected, PeerBytesRead
from jackdawsill.forwarding import (
    REFUSED,
    Crash,
    CrashConfirmed,
    CrashEvidence,
    StoreLost,
)
from jackdawsill.relaying import _log_events as log_events
from jackdawsill.relaying._silence import CLOSE_AFTER_S
from jackdawsill.relaying.tests._fleet import Fleet

# Time after which hosts count as undisturbed again, on the platform.
STABLE_WINDOW_S = 4.0
FINGERPRINT = 42


class TestSilentLinks(unittest.TestCase):
    """Relays replace links on which nothing arrives, and keep all others."""

    def setUp(self):
        self.fleet = Fleet(6)
        self.fleet.run(6.0)

    def report_crashes(self, address: str) -> None:
        """Let one host see three crashes under a request, one after the other."""
        for number in range(3):
            sent_at = self.fleet.now
            self.fleet.run(0.1)
            crash = Crash(f"p{number}", f"r{number}", "", self.fleet.now, sent_at)
            host = self.fleet.hosts[address]
            host.handle(CrashConfirmed(FINGERPRINT, crash, REFUSED))
            self.fleet.run(0.1)

    def is_condemned(self) -> list[bool]:
        """Tell for each host whether it refuses the request."""
        return [
            host.state.component(CrashEvidence).is_condemned(
                FINGERPRINT, self.fleet.now
            )
            for host in self.fleet.hosts.values()
        ]

    def peer_links(self) -> dict[str, dict[int, str]]:
        """Return the links of each relay to the others."""
        return {
            s: dict(self.fleet.hosts[s].feed.peer_relays_) for s in self.fleet.seeds
        }

    def test_crashes_between_relays(self):
        """Guards against crashes that stay with the relay that saw them."""
        self.fleet.silence_links(self.fleet.seeds)
        self.fleet.run(STABLE_WINDOW_S)
        self.report_crashes("h0")
        self.fleet.run(0.5)
        self.assertEqual(self.is_condemned(), [True] * 6)

    def test_crashes_during_the_silence(self):
        """Guards against crashes lost on a link that was silent and not yet closed."""
        self.fleet.silence_links(self.fleet.seeds)
        self.report_crashes("h0")
        self.fleet.run(STABLE_WINDOW_S)
        self.assertEqual(self.is_condemned(), [True] * 6)

    def test_silent_again_and_again(self):
        """Guards against links that are replaced only once."""
        for _ in range(3):
            self.fleet.silence_links(self.fleet.seeds)
            self.fleet.run(STABLE_WINDOW_S)
        self.report_crashes("h1")
        self.fleet.run(0.5)
        self.assertEqual(self.is_condemned(), [True] * 6)

    def test_store_away(self):
        """Guards against links replaced only because no relay has current updates."""
        links = self.peer_links()
        for host in self.fleet.hosts.values():
            host.reaches_store = False
            host.handle(StoreLost("refused"))
        self.fleet.run(20.0)
        self.assertEqual(self.peer_links(), links)

    def test_different_positions_with_the_store_away(self):
        """Guards against links replaced between relays that know different states."""
        for seed in self.fleet.seeds[1:]:
            self.fleet.hosts[seed].reaches_store = False
        self.fleet.muted.add(frozenset(self.fleet.seeds[:2]))
        self.fleet.store.write("r2")
        self.fleet.run(0.2)
        self.fleet.muted.clear()
        self.fleet.hosts["h0"].reaches_store = False
        links = self.peer_links()
        self.fleet.run(20.0)
        self.assertEqual(self.peer_links(), links)

    def test_long_message(self):
        """Guards against a link that is closed while a large message arrives slowly."""
        links = self.peer_links()
        self.fleet.muted.add(frozenset(self.fleet.seeds[:2]))
        for _ in range(20):
            self.fleet.run(CLOSE_AFTER_S / 4)
            for seed, others in links.items():
                for link_id in others:
                    self.fleet.hosts[seed].handle(PeerBytesRead(link_id))
        self.assertEqual(self.peer_links(), links)

    def test_pause_of_the_process(self):
        """Guards against links closed after a pause in which nothing could be read."""
        links = self.peer_links()
        for seed in self.fleet.seeds:
            self.fleet.frozen[seed] = []
        self.fleet.run(4 * CLOSE_AFTER_S)
        for seed in self.fleet.seeds:
            self.fleet.thaw(seed)
            self.fleet.hosts[seed].handle(PauseDetected(4 * CLOSE_AFTER_S))
        self.fleet.run(2 * CLOSE_AFTER_S)
        self.assertEqual(self.peer_links(), links)

    def test_log(self):
        """Guards against replaced links that no log tells of."""
        self.fleet.silence_links(self.fleet.seeds)
        self.fleet.run(STABLE_WINDOW_S)
        logs = self.fleet.hosts["h0"].logs
        self.assertEqual(logs.count(log_events.LINK_SILENT), 2)

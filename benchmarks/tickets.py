"""Measure CPU and memory of tickets, and the size of a client-held history.

Run `python -m benchmarks.tickets`. Times are process CPU time of one core; the
ticket manager runs alone, without sockets.
"""

import gc
import hashlib
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from jackdawsill.core import SendSub, SubAnswered, reduce
from jackdawsill.tickets._ledger import Ledger
from jackdawsill.tickets._ticket import body_digest, decode_ticket
from jackdawsill.tickets.tests.fleet import Fleet

N_REQUESTS = 20_000
N_SERIALS = 200_000
BODY = b'{"proof":"etiqueta-2041","copies":12000}'


@dataclass(slots=True)
class HistoryServer:
    """Alternative to tickets: the caller sends the ids of all its earlier requests.

    The server keeps one hash of them for each caller.

    Follows "Analysis of accounting models for the detection of duplicate requests
    in web services". A server without a hash for a caller must trust the history that
    the caller sends.
    """

    hashes: dict[str, bytes] = field(default_factory=dict)

    def run(
        self, caller: str, history: list[str], request_id: str, execute: Callable
    ) -> list[str]:
        """Execute a request that is not in the history; return the new history."""
        digest = hashlib.sha256("\n".join(history).encode()).digest()
        if self.hashes.get(caller, digest) != digest:
            raise ValueError("the hash of the history differs from the recorded hash")
        if request_id in history:
            return history
        execute(request_id)
        history = [*history, request_id]
        self.hashes[caller] = hashlib.sha256("\n".join(history).encode()).digest()
        return history


def cpu_us(action: Callable[[int], None], n: int) -> float:
    """Return the CPU time of one call in microseconds."""
    gc.collect()
    started_at = time.process_time()
    for i in range(n):
        action(i)
    return (time.process_time() - started_at) / n * 1e6


def measure_manager(n_requests: int = N_REQUESTS) -> dict[str, float]:
    """Return the CPU time to issue, use and resend a ticket at one host."""
    fleet = Fleet("a")
    state = fleet.hosts["a"].state
    tickets: list[str] = []

    def issue(i: int) -> None:
        tickets.append(fleet.ticket("a"))

    def spend(i: int) -> None:
        fleet.ask("a", tickets[i], BODY)
        sub: SendSub = fleet.subs.pop()[1]
        items = [{"class": "proof", "id": i}]
        event = SubAnswered(sub.sub_id, sub.request_id, sub.snapshot, sub.shard, items)
        fleet.carry_out("a", reduce(state, event, fleet.now))

    def resend(i: int) -> None:
        fleet.ask("a", tickets[-1 - i % 1000], BODY)

    return {
        "issue_us": cpu_us(issue, n_requests),
        "spend_us": cpu_us(spend, n_requests),
        "resend_us": cpu_us(resend, n_requests),
    }


def bytes_per_item(build: Callable[[int], object], n: int) -> float:
    """Return the bytes per item that `build(n)` retains, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = build(n)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return (after - before) / n


def used_serials(step: int) -> Callable[[int], Ledger]:
    """Return a builder of a ledger in which every `step`th serial is used."""

    def build(n: int) -> Ledger:
        ledger = Ledger("a", b"k" * 32, max_spans=1_000_000)
        for i in range(n):
            ledger.used_serials_.add(1 + i * step, 160.0)
        return ledger

    return build


def recorded_outcomes(answer_bytes: int) -> Callable[[int], Ledger]:
    """Return a builder of a ledger with recorded answers of one size."""

    def build(n: int) -> Ledger:
        ledger = Ledger("a", b"k" * 32, max_record_bytes=1 << 30)
        for _ in range(n):
            ticket = decode_ticket(ledger.issue("ana", "order", 100.0))
            record = ledger.use(ticket, body_digest(BODY))
            ledger.record_outcome(record, 0, "", b"x" * answer_bytes)
        return ledger

    return build


def unused_tickets(n: int) -> Ledger:
    """Return a ledger with tickets that nobody used."""
    ledger = Ledger("a", b"k" * 32)
    for _ in range(n):
        ledger.issue("ana", "order", 100.0)
    return ledger


def history_bytes(n: int) -> int:
    """Return the bytes of a request that carries a history of `n` requests."""
    rng = random.Random(7)
    history = [f"{rng.getrandbits(128):032x}" for _ in range(n)]
    return len(msgspec.json.encode({"history": history, "body": BODY.decode()}))


def main() -> None:
    """Print all measurements."""
    for name, value in measure_manager().items():
        print(f"{name}: {value:.1f} (CPU per request, with the test fleet)")
    ticket = Fleet("a").ticket("a")
    print(f"bytes per ticket on the wire: {len(ticket)}")
    print(f"bytes per unspent ticket: {bytes_per_item(unused_tickets, N_SERIALS):.3f}")
    for step in (1, 10, 1024):
        value = bytes_per_item(used_serials(step), N_SERIALS)
        print(f"bytes per spent serial, one in {step} spent: {value:.2f}")
    for size in (0, 1000):
        value = bytes_per_item(recorded_outcomes(size), N_REQUESTS)
        print(f"bytes per recorded outcome, answer of {size} bytes: {value:.0f}")
    for n in (0, 10, 100, 1000, 10_000):
        print(f"client-held history of {n}: {history_bytes(n)} bytes per request")


if __name__ == "__main__":
    main()

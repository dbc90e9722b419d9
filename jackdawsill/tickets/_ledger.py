"""Used tickets and recorded outcomes of one issuer."""

from collections import OrderedDict
from dataclasses import dataclass

from jackdawsill.tickets._messages import RecordCopy, SpentSpan
from jackdawsill.tickets._ticket import Ticket, encode_ticket

TICKET_TTL_S = 60.0
# Callers may resend a request for minutes after a timeout, so outcomes are kept for
# this time after the ticket expired.
RETENTION_S = 300.0
SERIALS_PER_SPAN = 1024
# 4,096 spans take 1.1 MB. They hold 4 million consecutive serials, or as few as 4,096
# scattered ones.
MAX_SPANS = 4096
MAX_RECORD_BYTES = 4 * 1024 * 1024
# A record must fit into one handover chunk of 64 KB.
MAX_KEPT_ANSWER_BYTES = 48 * 1024
MAX_KEPT_MESSAGE_CHARS = 500
# A record without an answer takes 289 bytes and a dense span 266 bytes
# (`benchmarks/tickets.py`); the estimates are higher to allow for fragmentation.
RECORD_OVERHEAD_BYTES = 400
SPAN_OVERHEAD_BYTES = 400

ANSWERED = 0  # outcome code of an answer; other codes are error codes


@dataclass(slots=True)
class Span:
    """Used serials out of `SERIALS_PER_SPAN` consecutive ones, as a bit mask."""

    mask: int = 0
    latest_expiry_at: float = 0.0  # of its used tickets, on the issuer's clock


class UsedSerials:
    """Set of used serials, in spans; spans without a used serial take no memory."""

    __slots__ = ("max_spans", "spans_")

    def __init__(self, max_spans: int = MAX_SPANS) -> None:
        self.max_spans = max_spans
        self.spans_: dict[int, Span] = {}

    def __contains__(self, serial: int) -> bool:
        index, bit = divmod(serial, SERIALS_PER_SPAN)
        span = self.spans_.get(index)
        return span is not None and bool(span.mask >> bit & 1)

    def has_memory_for(self, serial: int) -> bool:
        """Return whether a serial can be added without exceeding `max_spans`."""
        known = serial // SERIALS_PER_SPAN in self.spans_
        return known or len(self.spans_) < self.max_spans

    def add(self, serial: int, expires_at: float) -> None:
        """Mark a serial used."""
        index, bit = divmod(serial, SERIALS_PER_SPAN)
        span = self.spans_.setdefault(index, Span())
        span.mask |= 1 << bit
        span.latest_expiry_at = max(span.latest_expiry_at, expires_at)

    def prune(self, issuer_now: float) -> None:
        """Drop spans whose tickets are all past their retention."""
        limit = issuer_now - RETENTION_S
        old = [i for i, span in self.spans_.items() if span.latest_expiry_at <= limit]
        for index in old:
            del self.spans_[index]


@dataclass(slots=True)
class Record:
    """Outcome of a used ticket; `code` is None while the request runs."""

    serial: int
    body_digest: bytes
    kept_until: float  # on the issuer's clock
    code: int | None = None
    message: str = ""
    answer: bytes = b""

    def n_bytes(self) -> int:
        """Return an estimate of the memory that the record takes."""
        return RECORD_OVERHEAD_BYTES + len(self.message) + len(self.answer)


class Ledger:
    """Used serials and recorded outcomes of the tickets of one incarnation."""

    __slots__ = (
        "clock_offset_s_",
        "issuer",
        "key",
        "last_expiry_at_",
        "max_record_bytes",
        "n_record_bytes_",
        "n_running_",
        "next_serial_",
        "records_",
        "used_serials_",
        "void_below_",
    )

    def __init__(
        self,
        issuer: str,
        key: bytes,
        max_record_bytes: int = MAX_RECORD_BYTES,
        max_spans: int = MAX_SPANS,
    ) -> None:
        self.issuer = issuer
        self.key = key
        self.max_record_bytes = max_record_bytes
        self.clock_offset_s_ = 0.0
        self.last_expiry_at_ = 0.0
        self.next_serial_ = 1
        # Unused serials below this one are refused for good. That makes a refusal for
        # lack of memory final without a record of each refused ticket.
        self.void_below_ = 0
        self.used_serials_ = UsedSerials(max_spans)
        self.records_: OrderedDict[int, Record] = OrderedDict()
        self.n_record_bytes_ = 0
        self.n_running_ = 0

    def issuer_time(self, now: float) -> float:
        """Return the time on the issuer's clock, which continues after a handover."""
        return now + self.clock_offset_s_

    def issue(self, caller: str, route: str, now: float) -> str:
        """Return the text of a new ticket."""
        expires_at = self.issuer_time(now) + TICKET_TTL_S
        ticket = Ticket(self.issuer, self.next_serial_, caller, route, expires_at)
        self.next_serial_ += 1
        self.last_expiry_at_ = expires_at
        return encode_ticket(ticket, self.key)

    def has_memory_for(self, serial: int) -> bool:
        """Return whether one more ticket can be used within the memory limits."""
        full = (self.n_running_ + 1) * RECORD_OVERHEAD_BYTES > self.max_record_bytes
        return not full and self.used_serials_.has_memory_for(serial)

    def use(self, ticket: Ticket, digest: bytes) -> Record:
        """Mark a ticket used and bind it to the body with this digest."""
        self.used_serials_.add(ticket.serial, ticket.expires_at)
        record = Record(ticket.serial, digest, ticket.expires_at + RETENTION_S)
        self.n_running_ += 1
        self._store(record)
        return record

    def record_outcome(
        self, record: Record, code: int, message: str, answer: bytes
    ) -> None:
        """Record the outcome of a used ticket; later outcomes are ignored.

        An answer over `MAX_KEPT_ANSWER_BYTES` is dropped together with its record.
        """
        if record.code is not None:
            return
        self.n_running_ -= 1
        self.n_record_bytes_ -= record.n_bytes()
        record.code = code
        record.message = message[:MAX_KEPT_MESSAGE_CHARS]
        record.answer = answer
        self.n_record_bytes_ += record.n_bytes()
        if len(answer) > MAX_KEPT_ANSWER_BYTES:
            self._drop(record.serial)
        self._evict()

    def _store(self, record: Record) -> None:
        """Add a record, evicting old ones if needed."""
        self.records_[record.serial] = record
        self.n_record_bytes_ += record.n_bytes()
        self._evict()

    def _drop(self, serial: int) -> None:
        """Drop a record; its serial remains used."""
        self.n_record_bytes_ -= self.records_.pop(serial).n_bytes()

    def _evict(self) -> None:
        """Drop the oldest records with an outcome until the memory limit is met."""
        while self.n_record_bytes_ > self.max_record_bytes:
            settled = (s for s, r in self.records_.items() if r.code is not None)
            oldest = next(settled, None)
            if oldest is None:
                return
            self._drop(oldest)

    def prune(self, now: float) -> None:
        """Drop spans and records that are past their retention."""
        issuer_now = self.issuer_time(now)
        self.used_serials_.prune(issuer_now)
        # Records are in order of first use, which differs from the order of expiry by
        # at most the lifetime of a ticket. Checking only the oldest keeps this cheap.
        while self.records_:
            serial, record = next(iter(self.records_.items()))
            if record.kept_until > issuer_now or record.code is None:
                return
            self._drop(serial)

    def is_expired(self, now: float) -> bool:
        """Return whether all tickets of this issuer are past their retention."""
        return self.issuer_time(now) >= self.last_expiry_at_ + RETENTION_S

    def n_bytes(self) -> int:
        """Return an estimate of the memory that used serials and outcomes take."""
        return (
            self.n_record_bytes_ + len(self.used_serials_.spans_) * SPAN_OVERHEAD_BYTES
        )

    def spans(self) -> list[SpentSpan]:
        """Return the used serials for a handover."""
        n_bytes = SERIALS_PER_SPAN // 8
        return [
            SpentSpan(i, span.mask.to_bytes(n_bytes, "big"), span.latest_expiry_at)
            for i, span in self.used_serials_.spans_.items()
        ]

    def record_copies(self) -> list[RecordCopy]:
        """Return the records with an outcome for a handover.

        A serial without a record remains used, so the successor replies
        outcome_unknown for a request that is still running.
        """
        return [
            RecordCopy(
                r.serial, r.body_digest, r.kept_until, r.code, r.message, r.answer
            )
            for r in self.records_.values()
            if r.code is not None
        ]

    def load(
        self, spans: tuple[SpentSpan, ...], record_copies: tuple[RecordCopy, ...]
    ) -> None:
        """Add the used serials and outcomes of one handover chunk."""
        for span in spans:
            mask = int.from_bytes(span.mask, "big")
            self.used_serials_.spans_[span.index] = Span(mask, span.latest_expiry_s)
        for copy in record_copies:
            self._store(
                Record(
                    copy.serial,
                    copy.body_digest,
                    copy.expires_s,
                    copy.code,
                    copy.message,
                    copy.answer,
                )
            )

"""Checks of the invariants against the journal of one run.

I1 to I8 are the invariants of the design: I1 one snapshot per answer, I2 exact
coverage, I3 only permitted items of the request itself, I4 not_run means not run, I5
at most one run of a not-repeatable request, I6 no work for leaving replicas, I7
graceful stop, I8 configuration. The others check that hosts reply, in time, and
recover from all faults.
"""

from collections import Counter
from collections.abc import Callable

from jackdawsill.exceptions import Outcome
from jackdawsill.matrix._journal import (
    Attempt,
    GenerationSeen,
    Journal,
    LeavingEvidence,
    OutageKind,
    Reply,
)
from jackdawsill.objects import ObjectSet

# Longest times until no host sends work to a leaving replica, until all hosts use an
# accepted generation, and until a stopping host exits.
LEAVING_LIMIT_S = 3.0
ACCEPT_LIMIT_S = 5.0
STOP_LIMIT_S = 30.0
# A notice is sent in the handler that accepts a set and arrives after one network
# latency; the rest of the margin is for the pull of the values.
NOTICE_MARGIN_S = 0.1
# Hosts reconnect within this time after a partition.
RECONNECT_LIMIT_S = 2.0
# Time after a pause in which a reply after the deadline is no violation.
RESUME_MARGIN_S = 0.1

Check = Callable[[Journal, dict[int, ObjectSet]], list[str]]
INVARIANTS: dict[str, Check] = {}


def invariant(name: str) -> Callable[[Check], Check]:
    """Return a decorator that registers the check of one invariant."""

    def decorate(check: Check) -> Check:
        INVARIANTS[name] = check
        return check

    return decorate


def check_all(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Return every violation found in a journal."""
    return [
        f"{name}: {violation}"
        for name, check in INVARIANTS.items()
        for violation in check(journal, sets)
    ]


def answered_attempts(journal: Journal) -> list[tuple[Attempt, Reply]]:
    """Return the attempts that got an answer, each with its reply."""
    return [
        (attempt, reply)
        for attempt in journal.attempts
        for reply in attempt.replies
        if reply.answer is not None
    ]


@invariant("I1")
def check_one_snapshot(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report answers with items of another snapshot than the answer names."""
    return [
        f"{attempt.body!r} names {reply.answer.snapshot}, holds {item['snapshot']}"
        for attempt, reply in answered_attempts(journal)
        for item in reply.answer.items
        if item.get("snapshot") != reply.answer.snapshot
    ]


@invariant("I2")
def check_coverage(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report answers whose coverage differs from the shards of their items."""
    violations = []
    for attempt, reply in answered_attempts(journal):
        answer = reply.answer
        item_shards = {item["shard"] for item in answer.items}
        missing = {m.shard for m in answer.missing}
        snapshot = next(
            s.snapshots[answer.snapshot]
            for s in reversed(list(sets.values()))
            if answer.snapshot in s.snapshots
        )
        # The snapshots of not-repeatable requests have one shard only.
        expected = {shard.name for shard in snapshot.shards}
        if item_shards != set(answer.covered):
            violations.append(
                f"{attempt.body!r} covers {answer.covered}, holds {item_shards}"
            )
        if missing & item_shards or (missing | item_shards) != expected:
            violations.append(
                f"{attempt.body!r} misses {missing} and holds {item_shards}"
            )
        if answer.complete != (not missing):
            violations.append(f"{attempt.body!r} is marked complete wrongly")
        if any(not m.reason for m in answer.missing):
            violations.append(f"{attempt.body!r} misses a shard without a reason")
    return violations


@invariant("I3")
def check_own_answer(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report foreign, duplicate, missing or forbidden items and duplicate replies."""
    violations = []
    for attempt in journal.attempts:
        if len(attempt.replies) > 1:
            violations.append(f"{attempt.body!r} got {len(attempt.replies)} replies")
    for attempt, reply in answered_attempts(journal):
        objects = newest_set(journal, sets, reply)
        caller = objects.callers[attempt.caller]
        route = objects.routes[attempt.route]
        visible = objects.visible_classes(caller, route)
        if not objects.may_query(caller, route):
            violations.append(f"{attempt.body!r} answered without entitlement")
        for item in reply.answer.items:
            if item["body"] != attempt.body.decode():
                violations.append(f"{attempt.body!r} got an item of {item['body']!r}")
            if item["class"] not in visible:
                violations.append(f"{attempt.body!r} got class {item['class']}")
        counts = Counter((i["shard"], i["n"]) for i in reply.answer.items)
        n_expected = len(visible & {"draft", "approved-proof"})
        for shard in reply.answer.covered:
            n_items = sum(n for (name, _), n in counts.items() if name == shard)
            if n_items != n_expected:
                violations.append(
                    f"{attempt.body!r} holds {n_items} items of {shard}, "
                    f"not {n_expected}"
                )
    return violations


@invariant("I4")
def check_not_run(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report refusals with outcome `not_run` of requests that were run."""
    violations = []
    for attempt, reply in refused_as_not_run(journal):
        run_before = any(
            run.body == attempt.body and run.at <= reply.at for run in journal.runs
        )
        run_later = any(
            run.body == attempt.body and run.at > reply.at for run in journal.runs
        )
        # A run after this refusal may belong to another attempt still in progress.
        other_in_progress = any(
            other is not attempt
            and other.body == attempt.body
            and all(r.at >= reply.at for r in other.replies)
            for other in journal.attempts
        )
        if run_before or (run_later and not other_in_progress):
            violations.append(f"{attempt.body!r} was run but refused: {reply.error}")
    return violations


def refused_as_not_run(journal: Journal) -> list[tuple[Attempt, Reply]]:
    """Return attempts refused as not run, except refusals that issue a ticket."""
    return [
        (attempt, reply)
        for attempt in journal.attempts
        for reply in attempt.replies
        if reply.error is not None
        and reply.error.outcome is Outcome.NOT_RUN
        and reply.ticket is None
    ]


@invariant("I5")
def check_at_most_once(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report not-repeatable requests that were run more than once."""
    counts = Counter(run.body for run in journal.runs if not run.repeatable)
    return [f"{body!r} ran {n} times" for body, n in counts.items() if n > 1]


@invariant("I6")
def check_leaving(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report sub-requests sent to a backend server known to leave for too long."""
    violations = []
    for sub in journal.subs:
        known_at = min(
            (
                knowable_at(journal, evidence, sub.host)
                for evidence in journal.leaving
                if evidence.replica == sub.replica
            ),
            default=float("inf"),
        )
        overdue_s = sub.at - known_at
        if overdue_s <= LEAVING_LIMIT_S:
            continue
        if not journal.was_in_outage(sub.host, sub.at, LEAVING_LIMIT_S):
            violations.append(
                f"{sub.host} sent work to {sub.replica} {overdue_s:.1f} s after it was "
                "known to leave"
            )
    return violations


def knowable_at(journal: Journal, evidence: LeavingEvidence, host: str) -> float:
    """Return when evidence received by one host could have reached another one."""
    if evidence.host == host:
        return evidence.at
    ends = [
        outage.ended_at
        for outage in journal.outages
        if outage.kind is OutageKind.PARTITIONED
        and outage.host in (host, evidence.host)
        and outage.started_at <= evidence.at <= outage.ended_at
    ]
    return max([evidence.at, *ends])


@invariant("I7")
def check_graceful_stop(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report requests cut off by a planned stop, and stops that do not end."""
    violations = []
    for host, requested_at in journal.stop_requested_at.items():
        if journal.is_lost(host):
            continue
        exited_at = journal.exited_at.get(host)
        if exited_at is None or exited_at - requested_at > STOP_LIMIT_S:
            violations.append(f"{host} did not exit within {STOP_LIMIT_S} s")
    violations += [
        f"{attempt.body!r} was cut off at {attempt.host}"
        for attempt in journal.attempts
        if attempt.host in journal.stop_requested_at
        and not journal.is_lost(attempt.host)
        and not attempt.replies
    ]
    return violations


@invariant("I8")
def check_configuration(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report generations that decrease or are not accepted within the limit."""
    violations = []
    newest_seen: dict[str, int] = {}
    first_known_at: dict[int, float] = {}
    for seen in journal.generations:
        if seen.generation <= newest_seen.get(seen.incarnation, -1):
            violations.append(f"{seen.host} went back to {seen.generation}")
        newest_seen[seen.incarnation] = seen.generation
        known_at = announced_at(journal, seen)
        first_known_at[seen.generation] = min(
            known_at, first_known_at.get(seen.generation, float("inf"))
        )
    for attempt, reply in answered_attempts(journal):
        for generation, at in first_known_at.items():
            if reply.at <= at + ACCEPT_LIMIT_S:
                continue
            if journal.was_in_outage(reply.host, reply.at, ACCEPT_LIMIT_S):
                continue
            used_generation = generation_used(journal, sets, attempt, reply)
            if used_generation < generation:
                violations.append(
                    f"{reply.host} answered {attempt.body!r} under "
                    f"{used_generation}, {reply.at - at:.1f} s after "
                    f"{generation} was accepted"
                )
    return violations


def announced_at(journal: Journal, seen: GenerationSeen) -> float:
    """Return when a host could have announced a generation that it accepted.

    An outage that starts within `NOTICE_MARGIN_S` of accepting delays the announcement
    to its end, and each one that follows within `RECONNECT_LIMIT_S` delays it further.
    A crashed host never announces it, so the result is then infinity.
    """
    known_at = seen.at
    host_outages = [o for o in journal.outages if o.host == seen.host]
    for outage in sorted(host_outages, key=lambda o: o.started_at):
        margin_s = NOTICE_MARGIN_S if known_at == seen.at else RECONNECT_LIMIT_S
        if outage.ended_at < seen.at or outage.started_at > known_at + margin_s:
            continue
        lost = outage.kind is OutageKind.LOST and outage.started_at >= seen.at
        known_at = max(known_at, float("inf") if lost else outage.ended_at)
    return known_at


def generation_used(
    journal: Journal, sets: dict[int, ObjectSet], attempt: Attempt, reply: Reply
) -> int:
    """Return the generation that a host used for a reply.

    A resend with a ticket gets the recorded answer, which names the generation of the
    run; the host has to authorize the resend under its newest set.
    """
    objects = newest_set(journal, sets, reply)
    if not objects.routes[attempt.route].repeatable:
        return objects.generation
    return reply.answer.generation


@invariant("replies")
def check_replies(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report attempts without a reply from a host that neither crashed nor exited."""
    return [
        f"{attempt.body!r} got no reply from {attempt.host}"
        for attempt in journal.attempts
        if not attempt.replies and not attempt.host_ended
    ]


@invariant("deadline")
def check_deadlines(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report replies after the deadline from hosts that were not paused."""
    return [
        f"{attempt.body!r} got its reply {overdue_s:.3f} s after its deadline"
        for attempt in journal.attempts
        for reply in attempt.replies
        if (overdue_s := reply.at - read_at(journal, attempt) - attempt.deadline_s) > 0
        and not journal.was_in_outage(attempt.host, reply.at, RESUME_MARGIN_S)
    ]


def read_at(journal: Journal, attempt: Attempt) -> float:
    """Return when a host read a request: for a paused host, the end of its pause."""
    ends = [
        outage.ended_at
        for outage in journal.outages
        if outage.kind is OutageKind.PAUSED
        and outage.host == attempt.host
        and outage.started_at <= attempt.sent_at <= outage.ended_at
    ]
    return max([attempt.sent_at, *ends])


@invariant("recovery")
def check_recovery(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report queries after all faults that did not get a complete answer."""
    violations = []
    if not journal.final:
        violations.append("no host is ready after all faults")
    for attempt in journal.final:
        reply = attempt.replies[0] if attempt.replies else None
        if reply is None or reply.answer is None:
            violations.append(f"{attempt.body!r} at {attempt.host} got no answer")
        elif not reply.answer.complete:
            violations.append(f"{attempt.body!r} misses {reply.answer.missing}")
    return violations


def newest_set(journal: Journal, sets: dict[int, ObjectSet], reply: Reply) -> ObjectSet:
    """Return the newest set that a host had accepted when it replied."""
    generation = max(
        seen.generation
        for seen in journal.generations
        if seen.host == reply.host and seen.at <= reply.at
    )
    return sets[generation]

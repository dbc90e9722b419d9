"""Checks of the eight invariants against the journal of one run."""

from collections import Counter
from collections.abc import Callable

from jackdawsill.exceptions import Outcome
from jackdawsill.matrix._journal import (
    Attempt,
    ExcuseKind,
    GenerationSeen,
    Journal,
    LeavingEvidence,
    Reply,
)
from jackdawsill.objects import ObjectSet

LEAVING_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 5.0
STOP_LIMIT_S = 30.0
# A notice goes out with the event that accepts a set and arrives within a network
# latency; the rest is room for the pull of the values.
TELL_S = 0.1
# Hosts that were cut off open their links again within this time.
REDIAL_S = 2.0
# A host that wakes after a deadline replies at once.
WAKE_S = 0.1

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


def answered(journal: Journal) -> list[tuple[Attempt, Reply]]:
    """Return the attempts that got an answer, with the answer."""
    return [
        (attempt, reply)
        for attempt in journal.attempts
        for reply in attempt.replies
        if reply.answer is not None
    ]


@invariant("I1")
def check_one_snapshot(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report answers whose items come from another snapshot than the one named."""
    return [
        f"{attempt.body!r} names {reply.answer.snapshot}, holds {item['snapshot']}"
        for attempt, reply in answered(journal)
        for item in reply.answer.items
        if item.get("snapshot") != reply.answer.snapshot
    ]


@invariant("I2")
def check_coverage(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report answers whose coverage differs from the shards of their items."""
    violations = []
    for attempt, reply in answered(journal):
        answer = reply.answer
        held = {item["shard"] for item in answer.items}
        missing = {m.shard for m in answer.missing}
        snapshot = next(
            s.snapshots[answer.snapshot]
            for s in reversed(list(sets.values()))
            if answer.snapshot in s.snapshots
        )
        # A ticketed request addresses one shard of its snapshot.
        expected = {shard.name for shard in snapshot.shards}
        if held != set(answer.covered):
            violations.append(f"{attempt.body!r} covers {answer.covered}, holds {held}")
        if missing & held or (missing | held) != expected:
            violations.append(f"{attempt.body!r} misses {missing} and holds {held}")
        if answer.complete != (not missing):
            violations.append(f"{attempt.body!r} is marked complete wrongly")
        if any(not m.reason for m in answer.missing):
            violations.append(f"{attempt.body!r} misses a shard without a reason")
    return violations


@invariant("I3")
def check_own_answer(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report foreign, doubled, cut or forbidden items and doubled replies."""
    violations = []
    for attempt in journal.attempts:
        if len(attempt.replies) > 1:
            violations.append(f"{attempt.body!r} got {len(attempt.replies)} replies")
    for attempt, reply in answered(journal):
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
    """Report refusals that say `not_run` for a request that was run."""
    violations = []
    for attempt, reply in refused_as_not_run(journal):
        run_before = any(
            run.body == attempt.body and run.at_s <= reply.at_s for run in journal.runs
        )
        run_later = any(
            run.body == attempt.body and run.at_s > reply.at_s for run in journal.runs
        )
        # Another attempt of the same request may be run after this refusal.
        other_open = any(
            other is not attempt
            and other.body == attempt.body
            and all(r.at_s >= reply.at_s for r in other.replies)
            for other in journal.attempts
        )
        if run_before or (run_later and not other_open):
            violations.append(f"{attempt.body!r} was run but refused: {reply.error}")
    return violations


def refused_as_not_run(journal: Journal) -> list[tuple[Attempt, Reply]]:
    """Return the attempts that were refused as not run, tickets issued aside."""
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
    """Report work sent to a leaving backend server over the time limit."""
    violations = []
    for sub in journal.subs:
        known_s = min(
            (
                learned_at(journal, evidence, sub.host)
                for evidence in journal.leaving
                if evidence.replica == sub.replica
            ),
            default=float("inf"),
        )
        late_s = sub.at_s - known_s
        if late_s <= LEAVING_LIMIT_S:
            continue
        if not journal.is_excused(sub.host, sub.at_s, LEAVING_LIMIT_S):
            violations.append(
                f"{sub.host} sent work to {sub.replica} {late_s:.1f} s after it was "
                "known to leave"
            )
    return violations


def learned_at(journal: Journal, evidence: LeavingEvidence, host: str) -> float:
    """Return when evidence seen at one host could have reached another one."""
    if evidence.host == host:
        return evidence.at_s
    ends = [
        excuse.end_s
        for excuse in journal.excuses
        if excuse.kind is ExcuseKind.CUT
        and excuse.host in (host, evidence.host)
        and excuse.start_s <= evidence.at_s <= excuse.end_s
    ]
    return max([evidence.at_s, *ends])


@invariant("I7")
def check_graceful_stop(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report requests cut off by a planned stop, and stops that do not end."""
    violations = []
    for host, asked_s in journal.stops.items():
        if journal.is_lost(host):
            continue
        exit_s = journal.exits.get(host)
        if exit_s is None or exit_s - asked_s > STOP_LIMIT_S:
            violations.append(f"{host} did not exit within {STOP_LIMIT_S} s")
    violations += [
        f"{attempt.body!r} was cut off at {attempt.host}"
        for attempt in journal.attempts
        if attempt.host in journal.stops
        and not journal.is_lost(attempt.host)
        and not attempt.replies
    ]
    return violations


@invariant("I8")
def check_configuration(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report generations that fall, or are not in force within the limit."""
    violations = []
    newest: dict[str, int] = {}
    first_s: dict[int, float] = {}
    for seen in journal.generations:
        if seen.generation <= newest.get(seen.incarnation, -1):
            violations.append(f"{seen.host} went back to {seen.generation}")
        newest[seen.incarnation] = seen.generation
        known_s = shared_at(journal, seen)
        first_s[seen.generation] = min(
            known_s, first_s.get(seen.generation, float("inf"))
        )
    for attempt, reply in answered(journal):
        for generation, at_s in first_s.items():
            if reply.at_s <= at_s + IN_FORCE_LIMIT_S:
                continue
            if journal.is_excused(reply.host, reply.at_s, IN_FORCE_LIMIT_S):
                continue
            used = generation_used(journal, sets, attempt, reply)
            if used < generation:
                violations.append(
                    f"{reply.host} answered {attempt.body!r} under "
                    f"{used}, {reply.at_s - at_s:.1f} s after "
                    f"{generation} was accepted"
                )
    return violations


def shared_at(journal: Journal, seen: GenerationSeen) -> float:
    """Return when a host that accepted a generation could have told its peers.

    A host that is lost, cut off or paused within `TELL_S` of accepting may have told
    nobody; a lost one never does.
    """
    known_s = seen.at_s
    own = [e for e in journal.excuses if e.host == seen.host]
    for excuse in sorted(own, key=lambda e: e.start_s):
        room_s = TELL_S if known_s == seen.at_s else REDIAL_S
        if excuse.end_s < seen.at_s or excuse.start_s > known_s + room_s:
            continue
        lost = excuse.kind is ExcuseKind.LOST and excuse.start_s >= seen.at_s
        known_s = max(known_s, float("inf") if lost else excuse.end_s)
    return known_s


def generation_used(
    journal: Journal, sets: dict[int, ObjectSet], attempt: Attempt, reply: Reply
) -> int:
    """Return the generation under which a reply was decided.

    A resend with a ticket gets the recorded answer, which names the generation that
    the request ran under; the host still has to decide under its newest set.
    """
    newest = newest_set(journal, sets, reply)
    if not newest.routes[attempt.route].repeatable:
        return newest.generation
    return reply.answer.generation


@invariant("replies")
def check_replies(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report attempts without a reply at a host that did not die."""
    return [
        f"{attempt.body!r} got no reply from {attempt.host}"
        for attempt in journal.attempts
        if not attempt.replies and not attempt.host_died
    ]


@invariant("deadline")
def check_deadlines(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report replies after the deadline from hosts that were not paused."""
    return [
        f"{attempt.body!r} got its reply {late_s:.3f} s after its deadline"
        for attempt in journal.attempts
        for reply in attempt.replies
        if (late_s := reply.at_s - read_at(journal, attempt) - attempt.deadline_s) > 0
        and not journal.is_excused(attempt.host, reply.at_s, WAKE_S)
    ]


def read_at(journal: Journal, attempt: Attempt) -> float:
    """Return when a host read a request; a paused host reads it when it wakes."""
    ends = [
        excuse.end_s
        for excuse in journal.excuses
        if excuse.kind is ExcuseKind.PAUSED
        and excuse.host == attempt.host
        and excuse.start_s <= attempt.sent_at_s <= excuse.end_s
    ]
    return max([attempt.sent_at_s, *ends])


@invariant("recovery")
def check_recovery(journal: Journal, sets: dict[int, ObjectSet]) -> list[str]:
    """Report queries after all faults that do not get a complete answer."""
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
    """Return the set that was in force at a host when it replied."""
    generation = max(
        seen.generation
        for seen in journal.generations
        if seen.host == reply.host and seen.at_s <= reply.at_s
    )
    return sets[generation]

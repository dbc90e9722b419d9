"""Stop a program gracefully, after its pending work has finished.

python -m examples.embedding.stopping
"""

from examples.embedding._network import Network
from examples.embedding._objects import make_objects
from jackdawsill.core import Exit, HostState, SetReadiness, StopRequested
from jackdawsill.objects import bundle_set, load_bundle
from jackdawsill.spread import MANIFEST_KEY, ConfigSync
from jackdawsill.stopping import (
    PENDING_WORK_REPORTS,
    HostLifecycle,
    PendingWork,
    register_pending_work,
)


def main() -> list[str]:
    """Return the phases of a host that stops while one job is in progress.

    The readiness that the host reports is printed with them.
    """
    jobs: dict[int, float] = {1: 0.0}  # monotonic deadline by job id

    def pending_jobs(state: HostState) -> PendingWork:
        return PendingWork(len(jobs), max(jobs.values(), default=None))

    bundle = bundle_set(make_objects(), 1)
    network = Network()
    network.read_config = lambda host, key: (
        bundle.manifest if key == MANIFEST_KEY else bundle.values[key]
    )
    for name in ("a", "b"):
        network.add(name, f"d-{name}", ConfigSync(load_bundle), HostLifecycle())
    register_pending_work("example jobs")(pending_jobs)
    try:
        network.run(10.0)
        state = network.hosts["a:7000"]
        phases = [str(state.component(HostLifecycle).phase_)]
        jobs[1] = network.now + 8.0  # the stop waits so long
        network.feed("a:7000", StopRequested())
        for _ in range(200):
            network.run(0.1)
            phase = str(state.component(HostLifecycle).phase_)
            if phase != phases[-1]:
                phases.append(phase)
            if phase == "draining":
                jobs.clear()  # the job finishes
            if any(isinstance(effect, Exit) for _, effect in network.other_effects):
                break
    finally:
        # A program registers once, at import. This example removes its entry, so that
        # other hosts in the process do not wait for its jobs.
        del PENDING_WORK_REPORTS["example jobs"]
    ready = [e.ready for h, e in network.other_effects if isinstance(e, SetReadiness)]
    print(phases, ready)
    return phases


if __name__ == "__main__":
    main()

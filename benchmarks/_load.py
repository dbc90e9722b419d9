"""Open-loop load generator and the statistics of one measurement.

Requests are sent at random times that do not depend on the answers, and a latency is
measured from the intended time of the send. A slow answer therefore delays no later
request, and a late send counts as latency (no coordinated omission).
"""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

LATENCY_TARGET_S = 0.340  # target: 99 in 100 answers arrive within this time
REQUEST_TIMEOUT_S = 6.0
MAX_REQUESTS = 40_000  # per measurement


@dataclass(slots=True)
class Sample:
    """Outcome of one request; `intended_s` counts from the start of the load."""

    intended_s: float
    latency_s: float
    status: int  # 0: the connection failed
    n_covered: int = 0
    n_shards: int = 0
    is_wrong: bool = False
    has_duplicates: bool = False
    error: str = ""

    @property
    def is_useful(self) -> bool:
        """Whether the answer is correct, complete and within the latency target."""
        return (
            self.status == 200
            and self.n_covered == self.n_shards
            and self.latency_s <= LATENCY_TARGET_S
            and not self.is_wrong
        )


@dataclass(slots=True)
class LoadResult:
    """Samples of one measurement.

    `rate` is in requests per second; `send_lags_s` are delays of sends against their
    intended times; `cpu_s` is the CPU time of this process while it sent.
    """

    rate: float
    duration_s: float
    n_shards: int
    samples: list[Sample] = field(default_factory=list)
    send_lags_s: list[float] = field(default_factory=list)
    cpu_s: float = 0.0
    elapsed_s: float = 0.0


def check_answer(sample: Sample, body: dict[str, Any], request_id: str, n: int) -> None:
    """Set the counts and error flags of a sample from the answer to its request.

    `n` is the number in the request's body, which each item repeats.
    """
    covered, missing = body["covered"], body["missing"]
    items = body["items"]
    sample.n_covered = len(covered)
    shards = [*covered, *(entry["shard"] for entry in missing)]
    sample.has_duplicates = len(set(shards)) < len(shards) or len(items) > len(covered)
    sample.is_wrong = (
        body["request_id"] != request_id
        or len(shards) != sample.n_shards
        or body["complete"] != (not missing)
        or any(item["n"] != n for item in items)
        or any(item["snapshot"] != body["snapshot"] for item in items)
        or {item["id"] for item in items} != set(covered)
    )


class Generator:
    """Open-loop generator that sends queries to the entry hosts in rotation."""

    def __init__(
        self, addresses: list[str], route: str, token: str, n_shards: int, seed: int
    ) -> None:
        self.urls = [f"http://{a}/v1/query/{route}" for a in addresses]
        self.headers = {"Authorization": f"Bearer {token}"}
        self.n_shards = n_shards
        self.rng = random.Random(seed)
        self.n_sent = 0
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def run(self, rate: float, duration_s: float) -> LoadResult:
        """Send `rate` queries/s with Poisson arrivals; return after all replies."""
        load = LoadResult(rate, duration_s, self.n_shards)
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task] = set()
        n_max = min(MAX_REQUESTS, int(rate * duration_s * 2) + 10)
        cpu_s = time.process_time()
        started_at = time.perf_counter()
        intended_s = 0.0
        for _ in range(n_max):
            intended_s += self.rng.expovariate(rate)
            if intended_s >= duration_s:
                break
            wait_s = started_at + intended_s - time.perf_counter()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = loop.create_task(self._send_query(load, started_at, intended_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        remaining_s = started_at + duration_s - time.perf_counter()
        await asyncio.sleep(max(0.0, remaining_s))
        load.cpu_s = time.process_time() - cpu_s
        load.elapsed_s = time.perf_counter() - started_at
        if tasks:
            await asyncio.gather(*tasks)
        return load

    async def _send_query(
        self, load: LoadResult, started_at: float, intended_s: float
    ) -> None:
        assert self.session is not None
        self.n_sent += 1
        n = self.n_sent
        request_id = f"b{n}"
        url = self.urls[n % len(self.urls)]
        sample = Sample(intended_s, 0.0, 0, n_shards=self.n_shards)
        load.send_lags_s.append(time.perf_counter() - started_at - intended_s)
        try:
            async with self.session.post(
                url,
                data=b'{"n": %d}' % n,
                headers={**self.headers, "X-Request-Id": request_id},
            ) as resp:
                data = await resp.read()
                sample.status = resp.status
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            sample.error = type(exc).__name__
        sample.latency_s = time.perf_counter() - started_at - intended_s
        if sample.status == 200:
            check_answer(sample, msgspec.json.decode(data), request_id, n)
        elif sample.status:
            error = msgspec.json.decode(data)["error"]
            sample.error = f"{error['name']}/{error['outcome']}"
        load.samples.append(sample)


def quantile(values: list[float], q: float) -> float:
    """Return a quantile of sorted values by the nearest rank, NaN if there are none."""
    if not values:
        return float("nan")
    return values[min(len(values) - 1, int(q * len(values)))]


def summarize(load: LoadResult) -> dict[str, Any]:
    """Return the statistics of a measurement; latencies are those of answers only."""
    samples = load.samples
    answers = [s for s in samples if s.status == 200]
    latencies = sorted(s.latency_s for s in answers)
    lags = sorted(load.send_lags_s)
    n_shards = sum(s.n_shards for s in answers)
    errors = Counter(s.error for s in samples if s.error)
    n_refused = sum(n for e, n in errors.items() if e.endswith("/not_run"))
    return {
        "offered_per_s": round(len(samples) / load.duration_s, 1),
        "n_requests": len(samples),
        "n_answers": len(answers),
        "p50_ms": _ms(quantile(latencies, 0.5)),
        "p99_ms": _ms(quantile(latencies, 0.99)),
        "p999_ms": _ms(quantile(latencies, 0.999)),
        "in_time": _fraction(
            sum(s <= LATENCY_TARGET_S for s in latencies), len(answers)
        ),
        "shards_covered": _fraction(sum(s.n_covered for s in answers), n_shards),
        "complete": _fraction(
            sum(s.n_covered == s.n_shards for s in answers), len(answers)
        ),
        "useful_per_s": round(sum(s.is_useful for s in samples) / load.duration_s, 1),
        "n_refused": n_refused,
        "n_failed": sum(errors.values()) - n_refused,
        "errors": dict(errors),
        "n_wrong": sum(s.is_wrong for s in answers),
        "n_doubled": sum(s.has_duplicates for s in answers),
        "generator_cpu": round(load.cpu_s / load.elapsed_s, 2),
        "send_lag_p99_ms": _ms(quantile(lags, 0.99)),
    }


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _fraction(n: int, total: int) -> float:
    return round(n / total, 5) if total else float("nan")

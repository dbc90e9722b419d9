"""Tests of bad input at the callers' and operators' ports."""

import asyncio

import aiohttp

from jackdawsill.core import Count
from jackdawsill.daemon._http_server import MAX_BODY_BYTES
from jackdawsill.daemon.tests._fixtures import WAIT_S, HostCase


class TestCallerInput(HostCase):
    """Guards against bad input that is run, stops the host or gets no typed refusal."""

    async def assert_refused(self, status, name, **request):
        """Check that a request gets a typed refusal and is not run."""
        got, answer = await self.query(**request)
        self.assertEqual(got, status, answer)
        error = answer["error"]
        self.assertEqual(
            set(error), {"code", "name", "outcome", "message", "retry_after_ms"}
        )
        self.assertEqual((error["name"], error["outcome"]), (name, "not_run"))
        self.assertRegex(error["code"], r"^JDS-\d{4}$")
        self.assertEqual(sum(b.n_run_ for b in self.backends), 0)

    async def test_bad_headers(self):
        """Guards against header values that reach the reducer unchecked."""
        for headers in (
            {"X_Request_Id": "a/b"},
            {"X_Request_Id": "x" * 129},
            {"X_Deadline_Ms": "soon"},
            {"X_Deadline_Ms": "0"},
            {"X_Deadline_Ms": "-5"},
            {"X_Deadline_Ms": "1e3"},
            {"X_Deadline_Ms": "9" * 30},
            {"X_Policy": "luck"},
            {"X_Ticket": "t" * 2000},
            {"Authorization": "Bearer " + "t" * 600},
        ):
            with self.subTest(headers=headers):
                await self.assert_refused(400, "BadRequest", **headers)
        self.assertEqual((await self.query())[0], 200)

    async def test_bad_bodies(self):
        """Guards against bodies that backend servers would have to refuse."""
        for body in (b"", b"[]", b"{", b"\xff", b"null", b"[" * 5000, b"{} {}"):
            with self.subTest(body=body):
                await self.assert_refused(400, "BadRequest", body=body)
        self.assertEqual((await self.query())[0], 200)

    async def test_oversize_body(self):
        """Guards against bodies that the host buffers without bound."""
        body = b'{"a": "' + b"x" * MAX_BODY_BYTES + b'"}'
        await self.assert_refused(413, "BodyTooLarge", body=body)
        self.assertEqual((await self.query())[0], 200)

    async def test_oversize_chunked_body(self):
        """Guards against a body without length that bypasses the limit."""

        async def chunks():
            for _ in range(8):
                yield b"x" * (MAX_BODY_BYTES // 4)

        try:
            status, answer = await self.query(body=chunks())
            self.assertEqual((status, answer["error"]["outcome"]), (413, "not_run"))
        except aiohttp.ClientConnectionError:
            pass  # the host closed the connection while the body was being sent
        self.assertEqual((await self.query())[0], 200)
        # Only the second query has run, once on each of the three backend servers.
        self.assertLessEqual(sum(b.n_run_ for b in self.backends), 3)

    async def test_unknown_paths_and_methods(self):
        """Guards against error pages of sanic in place of typed refusals."""
        for method, path, status, name in (
            ("GET", "/nothing", 404, "UnknownPath"),
            ("GET", "/v1/query/dielines", 405, "MethodNotAllowed"),
            ("POST", "/v1/query/a%20b", 400, "BadRequest"),
        ):
            async with self.session.request(method, path, data=b"{}") as resp:
                answer = await resp.json()
                self.assertEqual((resp.status, answer["error"]["name"]), (status, name))

    async def test_bytes_that_are_not_http(self):
        """Guards against raw bytes that stop the process."""
        host, port = self.host.caller_address.split(":")
        for data in (b"\x00" * 100 + b"\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            writer.write_eof()
            await asyncio.wait_for(reader.read(), WAIT_S)
            writer.close()
        self.assertEqual((await self.query())[0], 200)


class TestOperatorPort(HostCase):
    """Views of the operators' server."""

    async def get(self, path):
        """Return status and decoded body."""
        url = f"http://{self.host.operator_address}{path}"
        async with self.session.get(url) as resp:
            if resp.content_type == "application/json":
                return resp.status, await resp.json()
            return resp.status, await resp.text()

    async def test_status(self):
        """Guards against a status without the host or daemon section."""
        status, content = await self.get("/status")
        self.assertEqual(status, 200)
        self.assertEqual(content["host"]["name"], "h1")
        self.assertEqual(content["host"]["generation"], 1)
        self.assertEqual(content["daemon"]["callers_waiting"], 0)

    async def test_explain_replica(self):
        """Guards against a replica that operators cannot look up."""
        status, content = await self.get("/explain/replica/archivo-00-a")
        self.assertEqual(status, 200)
        self.assertEqual(content["object"]["service"], "archivo-00")

    async def test_burn(self):
        """Guards against a burn report that cannot be encoded."""
        status, content = await self.get("/burn")
        self.assertEqual(status, 200)
        self.assertEqual(content["host"], "h1")

    async def test_unknown_views_are_typed(self):
        """Guards against a failed lookup without a typed error."""
        for path in ("/explain/replica/none", "/explain/dragon/x", "/none"):
            status, content = await self.get(path)
            self.assertEqual((status, content["error"]["name"]), (404, "UnknownPath"))

    async def test_metrics_and_health(self):
        """Guards against a scrape or a health check that fails on a ready host."""
        count = Count("queries_refused", 2.0, (("error", "Overloaded"),))
        self.host.driver.effect_handlers[Count](count)
        status, text = await self.get("/metrics")
        self.assertEqual(status, 200)
        self.assertIn('queries_refused_total{error="Overloaded"} 2.0', text)
        async with self.session.get("/healthz") as resp:
            self.assertEqual(resp.status, 200)

"""HTTP server for operators."""

from collections.abc import Callable
from typing import Any

import msgspec
from sanic import Request
from sanic.response import HTTPResponse

from jackdawsill.core import EXPLAIN_SECTIONS, REPORTS, explain, status
from jackdawsill.daemon import _views  # noqa: F401  registers the daemon's views
from jackdawsill.daemon._errors import UnknownPath
from jackdawsill.daemon._http_server import JSON_TYPE, HttpServer
from jackdawsill.daemon._log_events import BAD_CALLER_INPUT
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.runtime import Driver


class OperatorServer:
    """Serve `/status`, `/metrics`, `/explain/<kind>/<name>` and `/burn`."""

    def __init__(
        self,
        driver: Driver,
        daemon_status: Callable[[], dict[str, Any]],
        render_metrics: Callable[[], str],
    ) -> None:
        self.driver = driver
        self.daemon_status = daemon_status
        self.render_metrics = render_metrics
        self.http = HttpServer("operators", self._on_error)
        add = self.http.app.add_route
        add(self._status, "/status", methods=["GET"], name="status")
        add(self._metrics, "/metrics", methods=["GET"], name="metrics")
        add(
            self._explain,
            "/explain/<kind:str>/<name:str>",
            methods=["GET"],
            name="explain",
        )
        add(self._burn, "/burn", methods=["GET"], name="burn")

    async def _status(self, request: Request) -> HTTPResponse:
        """Return the status sections of all components and of the daemon."""
        content = status(self.driver.state, self.driver.clock())
        return _json({**content, "daemon": self.daemon_status()})

    async def _metrics(self, request: Request) -> HTTPResponse:
        """Return the metrics in the Prometheus text format."""
        return HTTPResponse(
            self.render_metrics(), content_type="text/plain; version=0.0.4"
        )

    async def _explain(self, request: Request, kind: str, name: str) -> HTTPResponse:
        """Return the explain sections of one object."""
        content = explain(self.driver.state, kind, name, self.driver.clock())
        if kind not in EXPLAIN_SECTIONS:
            kinds = ", ".join(sorted(EXPLAIN_SECTIONS))
            raise UnknownPath(f"unknown kind {kind}; kinds are {kinds}")
        if content is None:
            raise UnknownPath(f"no component knows {kind} {name}")
        return _json({"kind": kind, "name": name, **content})

    async def _burn(self, request: Request) -> HTTPResponse:
        """Return the burn report."""
        view = REPORTS.get("burn")
        if view is None:
            raise UnknownPath("this host has no burn report")
        return _json(view(self.driver.state, self.driver.clock()))

    def _on_error(self, error: JackdawsillError) -> None:
        self.driver.log(BAD_CALLER_INPUT, code=error.code_text, detail=error.message)


def _json(content: dict[str, Any]) -> HTTPResponse:
    """Return an indented JSON response."""
    body = msgspec.json.format(msgspec.json.encode(content), indent=2)
    return HTTPResponse(body + b"\n", content_type=JSON_TYPE)

"""Sanic HTTP servers that run in the daemon's event loop."""

import asyncio
import itertools
from collections.abc import Callable

from sanic import Request, Sanic
from sanic.exceptions import MethodNotAllowed as SanicMethodNotAllowed
from sanic.exceptions import NotFound, PayloadTooLarge, SanicException
from sanic.response import HTTPResponse

from jackdawsill.daemon._errors import (
    BadRequest,
    BodyTooLarge,
    MethodNotAllowed,
    UnknownPath,
)
from jackdawsill.daemon._replies import Reply, refusal_reply
from jackdawsill.exceptions import JackdawsillError, Outcome
from jackdawsill.runtime import InternalFault, listening_socket

JSON_TYPE = "application/json"
BACKLOG = 1024
MAX_BODY_BYTES = 256 * 1024
MAX_HEADER_BYTES = 16 * 1024
RESPONSE_TIMEOUT_S = 30.0
CALLER_IDLE_TIMEOUT_S = 75  # idle connections are closed after this time
FLUSH_TIMEOUT_S = 2.0  # for replies still being written at a stop
FLUSH_POLL_S = 0.002

# Sanic registers applications by name, so each server needs a unique name.
_app_numbers = itertools.count(1)


def to_response(reply: Reply) -> HTTPResponse:
    """Convert a reply to an HTTP response."""
    return HTTPResponse(reply.body, reply.status, reply.headers(), JSON_TYPE)


def to_typed_error(exc: BaseException) -> JackdawsillError:
    """Return the typed error for an exception of a request.

    Unexpected exceptions become an `InternalFault` with outcome unknown.
    """
    if isinstance(exc, JackdawsillError):
        return exc
    if isinstance(exc, PayloadTooLarge):
        return BodyTooLarge("the body is over the size limit of this host")
    if isinstance(exc, NotFound):
        return UnknownPath("no resource has this path")
    if isinstance(exc, SanicMethodNotAllowed):
        return MethodNotAllowed("the resource does not support this method")
    if isinstance(exc, SanicException) and 400 <= exc.status_code < 500:
        return BadRequest(str(exc)[:200])
    error = InternalFault("the request could not be handled")
    error.outcome = Outcome.OUTCOME_UNKNOWN
    return error


class HttpServer:
    """Run one sanic application on one port in the current event loop.

    `on_error` is called with each typed error before its response is sent.
    """

    def __init__(
        self,
        name: str,
        on_error: Callable[[JackdawsillError], None],
        max_body_bytes: int = MAX_BODY_BYTES,
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        self.app = Sanic(
            f"jackdawsill-{name}-{next(_app_numbers)}", configure_logging=False
        )
        self.app.config.update(
            {
                "ACCESS_LOG": False,
                "MOTD": False,
                "REQUEST_MAX_SIZE": max_body_bytes,
                "REQUEST_MAX_HEADER_SIZE": MAX_HEADER_BYTES,
                "KEEP_ALIVE_TIMEOUT": CALLER_IDLE_TIMEOUT_S,
                "RESPONSE_TIMEOUT": response_timeout_s,
                "FALLBACK_ERROR_FORMAT": "json",
                # Sanic's rewriting of its own methods at start works only for the
                # first application of a process.
                "TOUCHUP": False,
            }
        )
        self.on_error = on_error
        self.port_ = 0
        self._server = None
        self.app.exception(Exception)(self._on_exception)

    @property
    def n_connections(self) -> int:
        """Return the number of open connections."""
        return 0 if self._server is None else len(self._server.connections)

    async def start(self, address: str, port: int) -> None:
        """Listen on the address; port 0 lets the kernel choose `port_`."""
        sock = listening_socket(address, port)
        self.port_ = sock.getsockname()[1]
        self._server = await self.app.create_server(
            sock=sock,
            return_asyncio_server=True,
            access_log=False,
            backlog=BACKLOG,
            asyncio_server_kwargs={"start_serving": False},
        )
        assert self._server is not None
        await self._server.startup()
        await self._server.before_start()
        await self._server.start_serving()
        await self._server.after_start()

    async def stop(self) -> None:
        """Stop listening and close each connection once its reply is written.

        Connections still busy after `FLUSH_TIMEOUT_S` are aborted.
        """
        if self._server is None:
            return
        server, self._server = self._server, None
        await server.before_stop()
        server.close()
        loop = asyncio.get_running_loop()
        flush_until_at = loop.time() + FLUSH_TIMEOUT_S
        while server.connections and loop.time() < flush_until_at:
            for conn in list(server.connections):
                conn.close_if_idle()
            # Sanic has no event for a written reply, so connections are polled until
            # they are idle.
            await asyncio.sleep(FLUSH_POLL_S)
        for conn in list(server.connections):
            conn.abort()
        await server.after_stop()
        Sanic.unregister_app(self.app)

    async def _on_exception(self, request: Request, exc: Exception) -> HTTPResponse:
        """Convert any exception of a request into a typed refusal."""
        error = to_typed_error(exc)
        self.on_error(error)
        return to_response(refusal_reply(error))

"""HTTP server for callers and for the load balancer's health check."""

import asyncio
import secrets

from sanic import Request
from sanic.response import HTTPResponse

from jackdawsill.core import CallerDisconnected, Event, QueryArrived, SetReadiness
from jackdawsill.daemon._errors import (
    HostBusy,
    HostClosing,
    NoReply,
)
from jackdawsill.daemon._http_server import HttpServer, to_response
from jackdawsill.daemon._log_events import BAD_CALLER_INPUT, LATE_REPLY, NO_REPLY
from jackdawsill.daemon._replies import Replies, Reply, refusal
from jackdawsill.daemon._requests import check_request
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.runtime import Driver, InternalFault
from jackdawsill.settings import LimitSettings

# Added to the longest deadline, it bounds the wait for a reply.
REPLY_MARGIN_S = 5.0


class CallerServer:
    """Turn callers' requests into events, and replies into responses."""

    def __init__(self, driver: Driver, limits: LimitSettings) -> None:
        self.driver = driver
        self.limits = limits
        self.reply_limit_s = limits.max_deadline_ms / 1000.0 + REPLY_MARGIN_S
        self.replies = Replies(self._on_unclaimed)
        self.ready_ = False
        self.reason_ = "no object set yet"
        # The host's own bound comes first, so that the refusal is a typed one.
        self.http = HttpServer(
            "callers",
            self._on_error,
            limits.max_body_bytes,
            self.reply_limit_s + REPLY_MARGIN_S,
        )
        self.http.app.add_route(
            self._query, "/v1/query/<route:str>", methods=["POST"], name="query"
        )
        self.http.app.add_route(
            self._healthz, "/healthz", methods=["GET"], name="health"
        )
        driver.on_handler_failure = self._on_handler_failure

    def set_readiness(self, effect: SetReadiness) -> None:
        """Carry out `SetReadiness`."""
        self.ready_ = effect.ready
        self.reason_ = effect.reason

    async def _query(self, request: Request, route: str) -> HTTPResponse:
        """Answer one request of a caller."""
        if not self.ready_:
            # Callers open their next connection elsewhere, so that few connections
            # are left when the host closes them at the end of a stop.
            request.stream.keep_alive = False
        self._check_room()
        query_id = self.driver.state.next_id()
        event = check_request(
            route,
            request.headers,
            request.body,
            query_id,
            _new_request_id,
            self.limits.max_deadline_ms,
        )
        fut = self.replies.expect(query_id)
        loop = asyncio.get_running_loop()
        guard = loop.call_later(self.reply_limit_s, self._on_no_reply, query_id)
        try:
            self.driver.feed(event)
            reply = await fut
        except asyncio.CancelledError:
            # sanic cancels the handler when the caller closes its connection.
            self.replies.forget(query_id)
            self.driver.feed(CallerDisconnected(query_id))
            raise
        finally:
            guard.cancel()
        return to_response(reply)

    def _check_room(self) -> None:
        """Refuse a request that would take the host over its limits."""
        if self.driver.stopped_:
            raise HostClosing("the host has ended its work", retry_after_ms=0)
        limits = self.limits
        n_max = limits.max_running_queries + limits.max_queued_queries
        if len(self.replies) >= n_max:
            raise HostBusy(f"{n_max} requests are in hand", retry_after_ms=100)
        if self.http.n_connections > limits.max_caller_connections:
            raise HostBusy("too many connections are open", retry_after_ms=1000)

    async def _healthz(self, request: Request) -> HTTPResponse:
        """Answer the load balancer's health check."""
        if self.ready_:
            return to_response(Reply(200, b'{"ready":true}'))
        return HTTPResponse(self.reason_, 503)

    def _on_error(self, error: JackdawsillError) -> None:
        self.driver.log(BAD_CALLER_INPUT, code=error.code_text, detail=error.message)

    def _on_unclaimed(self, query_id: int) -> None:
        self.driver.log(LATE_REPLY, query_id=query_id)

    def _on_handler_failure(self, event: Event, error: InternalFault) -> None:
        """Refuse a request whose handler failed before anything was sent."""
        if isinstance(event, QueryArrived):
            self.replies.resolve(event.query_id, refusal(error))

    def _on_no_reply(self, query_id: int) -> None:
        """Answer a request that no component replied to."""
        self.driver.log(NO_REPLY, query_id=query_id, limit_s=self.reply_limit_s)
        error = NoReply("no reply was made in time")
        self.replies.resolve(query_id, refusal(error))
        self.driver.feed(CallerDisconnected(query_id))


def _new_request_id() -> str:
    """Return a request id for a caller that sent none."""
    return secrets.token_hex(8)

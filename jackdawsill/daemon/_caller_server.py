"""HTTP server for callers and for the load balancer's health check."""

import asyncio
import secrets

from sanic import Request
from sanic.response import HTTPResponse

from jackdawsill.core import CallerDisconnected, Event, QueryArrived, SetReadiness
from jackdawsill.daemon._caller_requests import check_request
from jackdawsill.daemon._errors import (
    HostBusy,
    HostClosing,
    NoReply,
)
from jackdawsill.daemon._http_server import HttpServer, to_response
from jackdawsill.daemon._log_events import (
    BAD_CALLER_INPUT,
    NO_REPLY,
    REPLY_WITHOUT_CALLER,
)
from jackdawsill.daemon._replies import PendingReplies, Reply, refusal_reply
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.runtime import Driver, InternalFault
from jackdawsill.settings import LimitSettings

# Time after the longest deadline at which a request without a reply is refused. The
# timeout of Sanic is later by the same margin.
REPLY_MARGIN_S = 5.0


class CallerServer:
    """Turn requests of callers into events and replies into HTTP responses."""

    def __init__(self, driver: Driver, limits: LimitSettings) -> None:
        self.driver = driver
        self.limits = limits
        self.reply_timeout_s = limits.max_deadline_ms / 1000.0 + REPLY_MARGIN_S
        self.replies = PendingReplies(self._on_reply_without_caller)
        self.ready_ = False
        self.not_ready_reason_ = "no object set yet"
        # Sanic's timeout is later than the host's own, so that callers get the typed
        # refusal of the host.
        self.http = HttpServer(
            "callers",
            self._on_error,
            limits.max_body_bytes,
            self.reply_timeout_s + REPLY_MARGIN_S,
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
        self.not_ready_reason_ = effect.reason

    async def _query(self, request: Request, route: str) -> HTTPResponse:
        """Handle one request of a caller."""
        if not self.ready_:
            # Close the connection after this reply. The caller reconnects to another
            # host, so few connections are left at the end of a stop.
            request.stream.keep_alive = False
        self._check_capacity()
        query_id = self.driver.state.next_id()
        event = check_request(
            route,
            request.headers,
            request.body,
            query_id,
            _new_request_id,
            self.limits.max_deadline_ms,
        )
        fut = self.replies.add(query_id)
        loop = asyncio.get_running_loop()
        no_reply_timer = loop.call_later(
            self.reply_timeout_s, self._on_no_reply, query_id
        )
        try:
            self.driver.feed(event)
            reply = await fut
        except asyncio.CancelledError:
            # sanic cancels the handler when the caller closes its connection.
            self.replies.remove(query_id)
            self.driver.feed(CallerDisconnected(query_id))
            raise
        finally:
            no_reply_timer.cancel()
        return to_response(reply)

    def _check_capacity(self) -> None:
        """Raise an error if the host is stopped or at one of its limits."""
        if self.driver.stopped_:
            raise HostClosing("the host has stopped", retry_after_ms=0)
        limits = self.limits
        max_requests = limits.max_running_queries + limits.max_queued_queries
        if len(self.replies) >= max_requests:
            raise HostBusy(
                f"{max_requests} requests are in progress", retry_after_ms=100
            )
        if self.http.n_connections > limits.max_caller_connections:
            raise HostBusy("too many connections are open", retry_after_ms=1000)

    async def _healthz(self, request: Request) -> HTTPResponse:
        """Handle the load balancer's health check."""
        if self.ready_:
            return to_response(Reply(200, b'{"ready":true}'))
        return HTTPResponse(self.not_ready_reason_, 503)

    def _on_error(self, error: JackdawsillError) -> None:
        self.driver.log(BAD_CALLER_INPUT, code=error.code_text, detail=error.message)

    def _on_reply_without_caller(self, query_id: int) -> None:
        self.driver.log(REPLY_WITHOUT_CALLER, query_id=query_id)

    def _on_handler_failure(self, event: Event, error: InternalFault) -> None:
        """Refuse a request whose `QueryArrived` handler failed before any send."""
        if isinstance(event, QueryArrived):
            self.replies.resolve(event.query_id, refusal_reply(error))

    def _on_no_reply(self, query_id: int) -> None:
        """Refuse a request that no component has replied to in time."""
        self.driver.log(NO_REPLY, query_id=query_id, limit_s=self.reply_timeout_s)
        error = NoReply("no component replied in time")
        self.replies.resolve(query_id, refusal_reply(error))
        self.driver.feed(CallerDisconnected(query_id))


def _new_request_id() -> str:
    """Return a request id for a caller that sent none."""
    return secrets.token_hex(8)

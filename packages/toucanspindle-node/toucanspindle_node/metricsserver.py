"""Serves the metrics of a process over HTTP, in the Prometheus text format."""

import threading
from collections.abc import Callable
from typing import Any, Final

from cheroot.server import HTTPServer
from cheroot.wsgi import Server as WsgiServer
from toucanspindle_core.hostport import HostPort

from toucanspindle_node.listening import explain_bind_error

METRICS_THREADS: Final = 1


class MetricsServer:
    """An HTTP server whose every path returns the metrics."""

    def __init__(self, setting: str, address: HostPort, render_text: Callable[[], bytes]) -> None:
        """Create a server for the text of `render_text`; errors name `setting` for the address."""
        self._setting = setting
        self._address = address
        self._render_text = render_text
        self._server: HTTPServer | None = None

    def start(self) -> None:
        """Start listening; raise SettingsError when the address can't be used."""
        bind = (self._address.ip, self._address.port)
        self._server = WsgiServer(bind, self._answer, numthreads=METRICS_THREADS)
        try:
            self._server.prepare()
        except OSError as error:
            raise explain_bind_error(self._setting, self._address, error) from error
        threading.Thread(target=self._server.serve, name="metrics", daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def _answer(self, environ: Any, start_response: Any) -> list[bytes]:  # noqa: ARG002
        start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
        return [self._render_text()]

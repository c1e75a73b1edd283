"""Tests of PlatformClient: which write answers are uncertain and which are certain failures."""

import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

from testtools import TestCase
from toucanspindle_core.errors import PlatformError, PlatformUncertainError
from toucanspindle_core.platformclient import PlatformClient


class WriteAnswerTests(TestCase):
    """Whether the answer to a write tells that the write had no effect."""

    def _client(self, status: int, body: bytes) -> PlatformClient:
        class Handler(BaseHTTPRequestHandler):
            def do_PUT(self) -> None:
                self.rfile.read(int(self.headers["Content-Length"]))
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: Any) -> None:
                """Suppress the request log of the test server."""

        server = HTTPServer(("127.0.0.1", 0), Handler)
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        client = PlatformClient(f"http://127.0.0.1:{server.server_port}")
        self.addCleanup(client.close)
        return client

    def test_write_is_uncertain_after_a_server_error(self) -> None:
        for status in (500, 502, 503, 504):
            client = self._client(status, b"{}")
            self.assertRaises(PlatformUncertainError, client.replace, "config", "head", {}, 1)

    def test_write_is_uncertain_after_a_malformed_answer(self) -> None:
        for body in (b"", b"{", b"[]", b"{}", b'{"version": "x"}'):
            client = self._client(200, body)
            self.assertRaises(PlatformUncertainError, client.replace, "config", "head", {}, 1)

    def test_write_refused_by_a_client_error_is_certainly_not_done(self) -> None:
        client = self._client(413, b"{}")
        error = self.assertRaises(PlatformError, client.replace, "config", "head", {}, 1)
        self.assertNotIsInstance(error, PlatformUncertainError)

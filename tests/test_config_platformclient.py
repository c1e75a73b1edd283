"""Tests of how the client of the object API tells a lost write from a refused one."""

import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

from testtools import TestCase
from toucanspindle_core.errors import PlatformError, PlatformUncertainError
from toucanspindle_core.platformclient import PlatformClient


class WriteAnswerTests(TestCase):
    """What an answer to a write says on whether it took effect."""

    def _client(self, status: int, body: bytes) -> PlatformClient:
        class Handler(BaseHTTPRequestHandler):
            def do_PUT(self) -> None:
                self.rfile.read(int(self.headers["Content-Length"]))
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: Any) -> None:
                """Keep the test's output clean."""

        server = HTTPServer(("127.0.0.1", 0), Handler)
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        client = PlatformClient(f"http://127.0.0.1:{server.server_port}")
        self.addCleanup(client.close)
        return client

    def test_server_fault_leaves_a_write_open(self) -> None:
        for status in (500, 502, 503, 504):
            client = self._client(status, b"{}")
            self.assertRaises(PlatformUncertainError, client.replace, "config", "head", {}, 1)

    def test_garbled_answer_leaves_a_write_open(self) -> None:
        for body in (b"", b"{", b"[]", b"{}", b'{"version": "x"}'):
            client = self._client(200, body)
            self.assertRaises(PlatformUncertainError, client.replace, "config", "head", {}, 1)

    def test_refused_write_is_certain(self) -> None:
        client = self._client(413, b"{}")
        error = self.assertRaises(PlatformError, client.replace, "config", "head", {}, 1)
        self.assertNotIsInstance(error, PlatformUncertainError)

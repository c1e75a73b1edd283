"""Tests of the datagram endpoint, over the loopback interface."""

import asyncio
import socket

from testtools import TestCase
from toucanspindle_entry.hosts.datagrams import DatagramEndpoint, Message

IP = "127.0.0.1"


def free_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((IP, 0))
        return int(probe.getsockname()[1])


class DatagramEndpointTests(TestCase):
    def receive(self, datagrams: list[bytes]) -> list[Message]:
        """Return the messages that an endpoint handles of some datagrams that wait for it."""
        received: list[Message] = []

        def handle(_: str, message: Message) -> None:
            if message[0] == "fail":
                raise AttributeError("unexpected")
            received.append(message)

        async def run() -> None:
            endpoint = DatagramEndpoint(IP, free_udp_port(), handle)
            await endpoint.start()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for data in datagrams:
                    sender.sendto(data, (IP, endpoint.port))
            rounds = 0
            while endpoint.datagrams_received < len(datagrams) and rounds < 100:
                rounds += 1
                await asyncio.sleep(0)
            self.rounds = rounds
            endpoint.close()

        asyncio.run(run())
        return received

    # Guards against a host that is behind and reads one datagram in each round of its event loop.
    def test_waiting_datagrams_are_read_in_one_go(self) -> None:
        received = self.receive([b'["n",%d]' % n for n in range(50)])
        self.assertEqual([["n", n] for n in range(50)], received)
        self.assertLess(self.rounds, 5)

    # Guards against one message that stops the process or costs the messages behind it.
    def test_malformed_and_failing_messages_cost_only_themselves(self) -> None:
        bad = [b"", b"\xff", b"[]", b"{}", b"[1]", b'["fail"]', b"[" * 5000]
        self.assertEqual([["n", 1]], self.receive([*bad, b'["n",1]']))

    def test_closed_endpoint_drops_what_it_is_given(self) -> None:
        async def run() -> None:
            endpoint = DatagramEndpoint(IP, free_udp_port(), lambda *_: None)
            endpoint.send(IP, ["early"])
            await endpoint.start()
            endpoint.close()
            endpoint.close()
            endpoint.send(IP, ["late"])
            self.assertEqual(0, endpoint.datagrams_sent)

        asyncio.run(run())

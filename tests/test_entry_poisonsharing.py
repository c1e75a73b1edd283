"""Tests of how hosts share what they know of requests that crash targets, without a network."""

import random
from unittest import mock

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_entry.broker.poisonsharing import KEEPER_DIGITS, PoisonSharing
from toucanspindle_entry.hosts.brokerchoice import BrokerRanking
from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import HostEntry


class KeeperTests(TestCase):
    def test_lost_connections_do_not_rank_the_hosts_each(self) -> None:
        """Guards against a crashed target whose lost requests cost a hash of each host each."""
        hosts = LiveHosts(HostEntry("h0", "127.0.0.1", "d", "i"), random.Random(1), 1.0)
        sent: list[tuple[str, Message]] = []
        sharing = PoisonSharing(
            hosts,
            BrokerRanking(hosts),
            MonotonicClock(),
            lambda ip, message: sent.append((ip, message)),
        )
        with mock.patch(
            "toucanspindle_entry.hosts.brokerchoice.rendezvous_weight", return_value=1
        ) as hashed:
            for n in range(5000):
                fingerprint = f"{n * 2654435761 % 2**64:016x}"
                sharing.tracker.record_crash(fingerprint, "t", 0.0)
                sharing.share("service", fingerprint)
        self.assertLessEqual(hashed.call_count, 16**KEEPER_DIGITS + 1)

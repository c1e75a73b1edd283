"""Tests of the limit for connections of callers, without a network."""

from testtools import TestCase
from toucanspindle_entry.callers.connectiontable import ConnectionPhase, ConnectionTable
from toucanspindle_entry.settings import FILE_DESCRIPTORS, RESERVED_DESCRIPTORS

from deployedfleet import SETTINGS
from platformsettings import load_settings
from tests.tempfolder import temporary_folder


class FakeConnection:
    def __init__(self) -> None:
        self.is_open = True

    def abort(self) -> None:
        self.is_open = False


class ConnectionTableTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.shed: list[tuple[str, str]] = []
        self.table = ConnectionTable(
            "callers", 4, lambda: 0.0, lambda name, phase: self.shed.append((name, phase))
        )

    def add(self, *phases: ConnectionPhase) -> list[FakeConnection]:
        connections = [FakeConnection() for _ in phases]
        for connection, phase in zip(connections, phases, strict=True):
            self.table.add(connection)
            self.table.set_phase(connection, phase)
        return connections

    def test_crowd_of_half_requests_takes_no_place_of_other_callers(self) -> None:
        """Guards against shedding callers that are served for those that only hold connections."""
        idle, busy = self.add(ConnectionPhase.IDLE, ConnectionPhase.BUSY)
        crowd = self.add(*[ConnectionPhase.READING] * 50)
        self.assertEqual([True, True], [idle.is_open, busy.is_open])
        self.assertEqual([False] * 48 + [True] * 2, [member.is_open for member in crowd])
        self.assertEqual([("callers", "reading")] * 48, self.shed)

    def test_connections_go_in_the_order_of_what_they_do(self) -> None:
        blocked, idle, reading, closing = self.add(
            ConnectionPhase.BLOCKED,
            ConnectionPhase.IDLE,
            ConnectionPhase.READING,
            ConnectionPhase.CLOSING,
        )
        for expected in (closing, reading, idle, blocked):
            (new,) = self.add(ConnectionPhase.BUSY)
            self.assertEqual([False, True], [expected.is_open, new.is_open])

    def test_new_connection_goes_if_all_others_are_busy(self) -> None:
        """Guards against cutting off requests that are being handled."""
        busy = self.add(*[ConnectionPhase.BUSY] * 4)
        new = FakeConnection()
        self.table.add(new)
        self.assertEqual(
            [False, True, 4], [new.is_open, all(c.is_open for c in busy), len(self.table)]
        )

    def test_removed_connections_make_room(self) -> None:
        first, *_ = self.add(*[ConnectionPhase.READING] * 4)
        self.table.remove(first)
        self.table.remove(first)
        self.add(ConnectionPhase.READING)
        self.assertEqual([], self.shed)


class DescriptorSettingsTests(TestCase):
    def test_all_limits_together_leave_the_descriptors_for_files(self) -> None:
        """Guards against limits that add up to more than a process may open."""
        folder = temporary_folder(self)
        for max_fds in (600, 1000, 4100):
            path = folder / "settings.toml"
            path.write_text(
                SETTINGS.format(
                    name="h",
                    ip="127.0.0.1",
                    peer=1,
                    seeds="",
                    front=2,
                    ready=3,
                    control=4,
                    directory=5,
                    store="127.0.0.1:6",
                    bounds="",
                ).replace("MemoryMb = 300", f"MaxFds = {max_fds}")
            )
            settings, _ = load_settings(path)
            limits = (
                settings.max_caller_connections,
                settings.max_status_connections,
                settings.max_target_connections,
            )
            sockets = max_fds - FILE_DESCRIPTORS
            reserved = min(RESERVED_DESCRIPTORS, sockets // 8)
            self.assertLessEqual(sum(limits) + reserved, sockets)
            self.assertEqual(sockets // 2, limits[0])

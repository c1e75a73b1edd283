"""A graceful shutdown completes the requests in flight, and callers see no failed request."""

import threading
import time
import uuid
from typing import Final

from toucanspindle_core.caller import Caller, CallerAnswer, CallerSettings
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import SERVICE, BackgroundReservation, FleetTestCase, look_up, reserve, runs_of
from tests.harness import wait_until

CALLERS: Final = 4
SLOW_SERVICE_MS: Final = 7000  # longer than cheroot waits for its threads on stop


class BusyCallers:
    """Threads that send lookups and reservations with the caller library until stopped."""

    def __init__(self, fleet: Fleet) -> None:
        self.answers: list[CallerAnswer] = []
        self._addresses = tuple(node.settings.entry_address for node in fleet.nodes)
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._run) for _ in range(CALLERS)]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        caller = Caller(CallerSettings("acme", self._addresses))
        while not self._stopped.is_set():
            self.answers.append(caller.send_get(SERVICE, f"/{SERVICE}/1"))
            self.answers.append(caller.submit(SERVICE, f"/{SERVICE}", uuid.uuid4().bytes))
        caller.close()


class GracefulShutdownTests(FleetTestCase):
    """SIGTERM to nodes with requests in flight, and a rolling restart of all nodes."""

    def stop_gracefully(self, node: EntryNode) -> None:
        node.proxy.terminate()
        node.proxy.terminate()
        self.assertEqual(0, node.proxy.wait(30.0))
        node.agent.terminate()
        self.assertEqual(0, node.agent.wait(30.0))

    def test_slow_request_in_flight_is_answered_after_two_signals(self) -> None:
        options = FleetOptions(
            target_options={"service_ms": SLOW_SERVICE_MS}, node_overrides={"close_grace_s": 0.2}
        )
        fleet = self.start_lotbook(options=options, deadline_ms=20_000)
        node = fleet.nodes[0]
        reservation = self.reservation(fleet, node)
        pending = BackgroundReservation(node.entry, reservation, timeout_s=20.0)
        wait_until(lambda: runs_of(fleet, reservation.key), what="a target runs the request")
        self.stop_gracefully(node)
        result = pending.result()
        self.assertEqual(OutcomeKind.ANSWERED, result.kind)
        other = fleet.nodes[1]
        wait_until(
            lambda: reserve(other.entry, reservation).body == result.body,
            what="the successor has the record of the request that was in flight",
        )
        self.assertEqual(1, len(runs_of(fleet, reservation.key)))

    def test_successor_answers_from_the_records_of_a_closed_node(self) -> None:
        fleet = self.start_lotbook(options=FleetOptions(node_overrides={"close_grace_s": 0.2}))
        issuer, other = fleet.nodes[0], fleet.nodes[1]
        finished = self.reservation(fleet, issuer)
        never_sent = self.reservation(fleet, issuer)
        first = reserve(issuer.entry, finished)
        self.stop_gracefully(issuer)
        wait_until(
            lambda: reserve(other.entry, finished).kind is OutcomeKind.ANSWERED,
            what="the other node answers from the successor's records",
        )
        self.assertEqual(first.body, reserve(other.entry, finished).body)
        self.assertEqual(OutcomeKind.NOT_RUN, reserve(other.entry, never_sent).kind)
        self.assertEqual(1, len(runs_of(fleet, finished.key)))
        self.assertEqual([], runs_of(fleet, never_sent.key))

    def test_rolling_restart_of_all_nodes_fails_no_request(self) -> None:
        fleet = self.start_lotbook(directory_ttl_s=1, account_requests_per_s=100_000)
        callers = BusyCallers(fleet)
        callers.start()
        try:
            for node in fleet.nodes:
                self.stop_gracefully(node)
                node.start()
                node.wait_listening()
                fleet.wait_for_directories(fleet.nodes)
        finally:
            callers.stop()
        failed = [a for a in callers.answers if a.kind is not OutcomeKind.ANSWERED]
        self.assertEqual([], failed)
        keys = [a.key for a in callers.answers if a.key]
        self.assertGreater(len(keys), 0)
        run_keys = [run.key for run in fleet.all_runs() if run.key]
        self.assertEqual(sorted(keys), sorted(run_keys))

    def test_node_serves_until_directory_answers_that_name_it_have_expired(self) -> None:
        fleet = self.start_lotbook(directory_ttl_s=4, account_requests_per_s=100_000)
        node = fleet.nodes[0]
        listed_at = time.monotonic()
        self.assertIn(node.name, fleet.directory_nodes(node, SERVICE))
        node.proxy.terminate()
        results = []
        while time.monotonic() < listed_at + 3.0:
            results.append(look_up(node.entry))
        self.assertEqual({OutcomeKind.ANSWERED}, {result.kind for result in results})
        self.assertEqual(0, node.proxy.wait(30.0))

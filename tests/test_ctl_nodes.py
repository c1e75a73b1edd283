"""Tests of the commands that query nodes: status, wait, explain and ask."""

from toucanctl.exitcodes import ExitCode
from toucanspindle_core.control_pb2 import Ejection, EjectionSet, MemberState, QuarantineEntry
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.fleetfile import dump_fleet
from toucanspindle_core.platformclient import HostList

from tests.configfakes import fleet_values
from tests.ctlfakes import CtlTestCase, FakeNode

SLOW_YARD_EXCEPTION = {
    "id": "slow-yard",
    "service": "lotbook",
    "reason": "the yard link is slow",
    "settings": {"false_ejections_per_target_day": 0.5},
}
EJECTION_FOR_ALL_NODES = Ejection(
    target="lotbook-1", reason="slow", evidence="p90 410 ms against 40 ms of peers"
)
EJECTION_FROM_ONE_DOMAIN = Ejection(
    target="lotbook-2", from_domain="graaff", reason="resets", evidence="9 of 10"
)


class NodesTestCase(CtlTestCase):
    """A test case with two nodes that have generation 1 in force."""

    def setUp(self) -> None:
        super().setUp()
        self.nodes = self.start_nodes("beaufort", "graaff")
        values = {**fleet_values(), "exceptions": [SLOW_YARD_EXCEPTION]}
        path = self.write_file(dump_fleet(FleetConfig.model_validate(values)))
        result = self.run_ctl("config", "apply", str(path), "--why", "first file", "--who", "ann")
        self.assertEqual((ExitCode.OK, ""), (result.code, result.err))
        for node in self.nodes:
            node.fetch_config(self.client)

    def node(self, name: str) -> FakeNode:
        """Return a node by its name."""
        return next(node for node in self.nodes if node.status.member.node == name)


class StatusTests(NodesTestCase):
    """Tests of `toucanctl status`, and of how many nodes commands query."""

    def test_status_shows_nodes_targets_ejections_and_quarantine(self) -> None:
        status = self.node("beaufort-1").status
        holder = status.member.incarnation
        old = EjectionSet(service="lotbook", holder=holder, epoch=1)
        new = EjectionSet(
            service="lotbook",
            holder=holder,
            epoch=2,
            ejections=[EJECTION_FOR_ALL_NODES, EJECTION_FROM_ONE_DOMAIN],
        )
        status.ejections.append(new)
        self.node("graaff-1").status.ejections.append(old)
        status.leaving_targets.append("lotbook/lotbook-3")
        status.quarantine.append(
            QuarantineEntry(service="lotbook", fingerprint="f00d", crashed_targets=2)
        )
        value = self.run_ctl("status", "--json").json()
        states = {t["target"]: t["state"] for t in value["services"][0]["targets"]}
        self.assertEqual(
            {
                "lotbook-0": "serving",
                "lotbook-1": "ejected",
                "lotbook-2": "avoided",
                "lotbook-3": "leaving",
            },
            states,
        )
        self.assertEqual([1, 1], [node["proxy_generation"] for node in value["nodes"]])
        self.assertEqual("f00d", value["quarantine"][0]["fingerprint"])
        text = self.run_ctl("status", "lotbook").out
        for part in ("nodes: 2 of 2 answered", "1 of 4 targets serving, floor 3", "f00d", "slow"):
            self.assertIn(part, text)
        self.assertNotIn("yardslots", text)

    def test_status_needs_only_one_agent_while_platform_is_unreachable(self) -> None:
        first, second = self.nodes
        first.status.members.append(second.status.member)
        self.close_platform()
        result = self.run_ctl("status", "--agent", str(first.agent_address), "--json")
        self.assertEqual(ExitCode.OK, result.code, result.err)
        self.assertEqual(
            (None, 2), (result.json()["platform_generation"], len(result.json()["nodes"]))
        )
        self.assertIn("list of hosts is missing", result.err)
        shown = self.run_ctl("config", "show", "--from-nodes", "--agent", str(first.agent_address))
        self.assertIn("based_on_generation = 1\n", shown.out)

    def test_status_asks_only_three_nodes_for_members(self) -> None:
        new_nodes = self.start_nodes(*(f"deaar{number}" for number in range(6)))
        for node in new_nodes:
            node.fetch_config(self.client)
        value = self.run_ctl("status", "lotbook", "--json").json()
        self.assertEqual(6, sum(node["heard"] for node in value["nodes"]))
        requested_scopes = [scope for node in new_nodes for scope in node.requested_scopes]
        self.assertEqual((3, 3), (requested_scopes.count(""), requested_scopes.count("lotbook")))

    def test_change_queries_generations_of_five_nodes(self) -> None:
        new_nodes = self.start_nodes(*(f"deaar{number}" for number in range(7)))
        self.run_ctl("config", "set", "deadline_ms", "900", "--why", "be faster")
        self.assertEqual(
            ["-"] * 5, [scope for node in new_nodes for scope in node.requested_scopes]
        )

    def test_status_of_unknown_service_is_refused(self) -> None:
        result = self.run_ctl("status", "ledger")
        self.assertEqual(ExitCode.REFUSED, result.code)
        self.assertIn("error TS205", result.err)
        self.assertIn("choose one of: lotbook, yardslots", result.err)


class FirstStartTests(CtlTestCase):
    """Commands on a fleet without a configuration."""

    def test_status_without_configuration_shows_the_nodes(self) -> None:
        self.start_nodes("beaufort", "graaff")
        result = self.run_ctl("status")
        self.assertEqual((ExitCode.OK, ""), (result.code, result.err))
        self.assertIn("no configuration yet", result.out)
        self.assertIn("nodes: 2 of 2 answered", result.out)
        self.assertIsNone(self.run_ctl("status", "--json").json()["generation"])

    def test_service_commands_without_configuration_are_errors(self) -> None:
        self.start_nodes("beaufort")
        for line in (["status", "lotbook"], ["explain", "service", "lotbook"]):
            result = self.run_ctl(*line)
            self.assertEqual(ExitCode.UNREACHABLE, result.code)
            self.assertIn("No node that answered has a configuration", result.err)


class MalformedTests(NodesTestCase):
    """Malformed data from the platform or a node is reported as an error, not a crash."""

    def test_malformed_host_address_is_reported(self) -> None:
        wrong = {"address": "entry.example", "agent_address": "agent.example"}
        hosts = [self.nodes[0].host_entry().model_copy(update=wrong), self.nodes[1].host_entry()]
        self.server.set_hosts(HostList(hosts=hosts))
        result = self.run_ctl("status")
        self.assertEqual(ExitCode.OK, result.code, result.err)
        self.assertIn("agent.example", result.out)
        result = self.run_ctl("ask", "lotbook")
        self.assertEqual(ExitCode.UNREACHABLE, result.code)
        self.assertIn("entry.example", result.err)

    def test_malformed_configuration_of_a_node_is_refused(self) -> None:
        for node in self.nodes:
            node.bundle.head = b'{"generation": 0}'
        result = self.run_ctl("status")
        self.assertEqual(ExitCode.REFUSED, result.code)
        self.assertIn("error TS209", result.err)

    def test_malformed_platform_head_is_refused_except_by_status(self) -> None:
        stored = self.client.read("config", "head")
        assert stored is not None
        self.client.replace("config", "head", {"generation": "x"}, stored.version)
        for command in (["show"], ["history"], ["set", "deadline_ms", "9", "--why", "be faster"]):
            result = self.run_ctl("config", *command)
            self.assertEqual(ExitCode.REFUSED, result.code)
            self.assertIn("error TS209", result.err)
        self.assertEqual(ExitCode.OK, self.run_ctl("status").code)


class WaitTests(NodesTestCase):
    """Waiting for the rollout of a change."""

    def test_wait_ends_when_all_nodes_have_the_generation(self) -> None:
        result = self.run_ctl("wait", "--json")
        self.assertEqual((ExitCode.OK, 2), (result.code, result.json()["in_force"]))

    def test_wait_names_nodes_without_the_generation(self) -> None:
        stopped = self.node("graaff-1")
        self.run_in_loop(stopped.close())
        arguments = ("set", "deadline_ms", "900", "--why", "be faster")
        result = self.run_ctl("config", *arguments, "--wait", "--wait-s", "0.1")
        self.assertEqual(ExitCode.ROLLOUT_INCOMPLETE, result.code)
        self.assertIn("generation 2: in force on 0 of 2 nodes", result.out)
        self.assertIn("beaufort-1: agent at generation 1, proxy at 1", result.err)
        self.assertIn(f"graaff-1: The agent at {stopped.agent_address} didn't answer", result.err)

    def test_node_that_has_left_is_not_awaited(self) -> None:
        left_status = self.nodes[1].status
        left_status.member.state = MemberState.LEFT
        left_status.proxy_generation = 0
        result = self.run_ctl("wait", "--wait-s", "0.1", "--json")
        self.assertEqual(ExitCode.OK, result.code, result.err)
        rollout = result.json()
        self.assertEqual((1, 1), (rollout["nodes"], rollout["in_force"]))
        self.assertEqual([left_status.member.node], rollout["left"])
        self.assertIn(
            f"have left: {left_status.member.node}", self.run_ctl("wait", "--wait-s", "0.1").out
        )

    def test_node_whose_proxy_crashed_is_awaited(self) -> None:
        crashed_status = self.nodes[1].status
        crashed_status.member.state = MemberState.DEAD
        crashed_status.proxy_generation = 0
        result = self.run_ctl("wait", "--wait-s", "0.1")
        self.assertEqual(ExitCode.ROLLOUT_INCOMPLETE, result.code)
        self.assertIn(crashed_status.member.node, result.err)

    def test_platform_generation_below_the_nodes_is_refused(self) -> None:
        for node in self.nodes:
            node.status.agent_generation = 7
        arguments = ("config", "set", "deadline_ms", "900", "--why", "be faster")
        result = self.run_ctl(*arguments)
        self.assertEqual(ExitCode.REFUSED, result.code)
        self.assertIn("error TS211", result.err)
        result = self.run_ctl(*arguments, "--above-generation", "7", "--json")
        self.assertEqual(8, result.json()["generation"])


class ExplainTests(NodesTestCase):
    """Tests of `toucanctl explain`."""

    def test_explain_service_shows_origin_of_each_setting(self) -> None:
        value = self.run_ctl("explain", "service", "lotbook", "--json").json()
        setting = value["settings"]["false_ejections_per_target_day"]
        self.assertEqual({"value": 0.5, "exception": "slow-yard"}, setting)
        self.assertIsNone(value["settings"]["deadline_ms"]["exception"])
        self.assertEqual({"beaufort-1", "graaff-1"}, set(value["nodes"]))
        text = self.run_ctl("explain", "service", "lotbook").out
        self.assertIn("exception slow-yard (the yard link is slow)", text)

    def test_explain_target_shows_evidence_and_settings(self) -> None:
        status = self.node("beaufort-1").status
        holder = status.member.incarnation
        status.ejections.append(
            EjectionSet(service="lotbook", holder=holder, ejections=[EJECTION_FOR_ALL_NODES])
        )
        text = self.run_ctl("explain", "target", "lotbook-1").out
        for part in (
            "lotbook-1 of service lotbook",
            "ejected for all nodes by beaufort-1: slow",
            "evidence: p90 410 ms against 40 ms of peers",
            "false_ejections_per_target_day  0.5    exception slow-yard",
        ):
            self.assertIn(part, text)
        healthy = self.run_ctl("explain", "target", "yardslots/yardslots-0")
        self.assertIn("no node has evidence against it", healthy.out)
        self.assertEqual(ExitCode.REFUSED, self.run_ctl("explain", "target", "lotbook-9").code)

    def test_explain_request_shows_the_node_that_ran_it(self) -> None:
        self.node("graaff-1").explanations["r-1"] = ["GET /lots", "dispatched to lotbook-0"]
        text = self.run_ctl("explain", "request", "r-1").out
        self.assertIn("node graaff-1:\n  GET /lots\n  dispatched to lotbook-0\n", text)
        result = self.run_ctl("explain", "request", "r-2")
        self.assertEqual(ExitCode.REFUSED, result.code)
        self.assertIn("error TS205", result.err)

"""Tests of client accounts: plans that have them, keys of callers, and what targets get."""

import random
from typing import Any, Final

import logbook
import orjson
from testtools import TestCase
from toucanspindle_entry.accounts.accountindex import key_digest
from toucanspindle_entry.callers.callermessages import CallerRequest
from toucanspindle_entry.callers.routeindex import RouteIndex
from toucanspindle_entry.model import ClientAccount, FleetPlan
from toucanspindle_entry.store.objectstore import ObjectKind, StoreChange
from toucanspindle_entry.store.storemessages import decode_progress, encode_progress
from toucanspindle_entry.store.storewatch import StoreProgress

from platformwire import decode_object
from tests.test_entry_requestpath import FaultyTargetCase, response
from tests.test_platform_wire import PLAN_OBJECT, with_field

KEY: Final = "k3y-of-blue"
BLUE: Final = ClientAccount("blue", (key_digest(KEY),), 0, 113.0, 50.0)
ACCOUNTS: Final = (BLUE, ClientAccount("idle", ()))


def decode(tenants: Any) -> FleetPlan | None:
    """Return the plan with some `Tenants`, or None if it is refused."""
    value = decode_object(ObjectKind.PLAN, with_field(PLAN_OBJECT, "Spec.Tenants", tenants))[1]
    assert value is None or isinstance(value, FleetPlan)
    return value


class PlanTests(TestCase):
    def test_accounts_are_decoded_with_defaults(self) -> None:
        tenants = {
            "blue": {"ApiKeys": [KEY], "Priority": 0, "RatePerS": 113, "Burst": 50},
            "idle": {"Priority": None},
        }
        plan = decode(tenants)
        assert plan is not None
        self.assertEqual((BLUE, ClientAccount("idle", (), 1)), plan.accounts)

    # Guards against routes that are open to everybody when the last account is removed.
    def test_empty_table_counts_as_having_accounts(self) -> None:
        for tenants, accounts in (({}, ()), (None, None)):
            plan = decode(tenants)
            assert plan is not None
            self.assertEqual(accounts, plan.accounts)

    # Guards against a plan that is half in force, and against its keys in the log.
    def test_inconsistent_accounts_refuse_the_whole_plan_with_a_reason_and_no_key(self) -> None:
        odd_values: dict[str, list[Any]] = {
            "ApiKeys": [KEY, [KEY, 1], {KEY: 1}, "", 0, False, [""]],
            "RatePerS": ["1", -1, True, False, [], ""],
            "Burst": [{}],
            "Priority": ["0", 1.5, True],
        }
        odd = [(name, value) for name, values in odd_values.items() for value in values]
        for tenants in (
            {"a": {"ApiKeys": [KEY]}, "b": {"ApiKeys": ["other", KEY]}},
            *({"a": {"ApiKeys": [KEY], name: value}} for name, value in odd),
            {"a": [KEY]},
            [KEY],
            {"": {"ApiKeys": [KEY]}},
            {"a\r\nX-Tenant: b": {"ApiKeys": [KEY]}},
        ):
            with logbook.TestHandler() as handler:
                self.assertIsNone(decode(tenants), tenants)
            (line,) = handler.formatted_records
            self.assertIn("event=plan_refused name='main' reason=", line)
            self.assertNotIn(KEY, line)

    def test_one_account_may_name_a_key_twice(self) -> None:
        self.assertIsNotNone(decode({"a": {"ApiKeys": [KEY, KEY]}}))

    # Guards against hosts that get a plan by relay and serve it without its accounts.
    def test_relayed_plan_keeps_its_accounts(self) -> None:
        for tenants in (None, {}, {"blue": {"ApiKeys": [KEY], "RatePerS": 2.5}, "idle": {}}):
            plan = decode(tenants)
            change = StoreChange("main", plan, removed=False, revision=8)
            progress = StoreProgress(7, 8, 0.0, 0.0, (change,))
            message = orjson.dumps(encode_progress(ObjectKind.PLAN, progress))
            # A key needn't reach another host: its digest finds the account.
            self.assertNotIn(KEY.encode(), message)
            state = orjson.loads(message)
            self.assertEqual((ObjectKind.PLAN, progress), decode_progress(state))

    def test_no_representation_shows_a_key(self) -> None:
        plan = decode({"blue": {"ApiKeys": [KEY]}})
        assert plan is not None
        request = CallerRequest("GET", "/", [(b"x-account-key", KEY.encode())], b"", 0.0)
        routes = RouteIndex(plan, random.Random(1))
        for value in (plan, plan.accounts, routes, routes.accounts, request):
            self.assertNotIn(KEY, repr(value))


class KeyTests(FaultyTargetCase):
    def call(
        self,
        *headers: tuple[bytes, bytes],
        accounts: tuple[ClientAccount, ...] | None = ACCOUNTS,
        **options: Any,
    ) -> int:
        """Send a request with some headers; return the status, and check what is logged."""

        async def answer(number: int, request_id: bytes, writer: Any) -> None:  # noqa: ARG001
            writer.write(response(request_id))

        self.heads.clear()
        with logbook.TestHandler() as handler:
            (response_to_caller,), _ = self.send(
                answer, "q1", accounts=accounts, extra_headers=headers, **options
            )
        self.assertNotIn(KEY, repr(handler.formatted_records) + repr(response_to_caller))
        self.assertEqual(response_to_caller.status == 200, bool(self.heads))
        return response_to_caller.status

    def test_account_is_named_to_the_target_and_its_key_is_not(self) -> None:
        spoofed = (b"x-account", b"idle")
        # The parser of requests keeps blanks behind a value.
        for key in (KEY.encode(), KEY.encode() + b" \t"):
            self.assertEqual(200, self.call((b"x-account-key", key), spoofed))
            self.assertEqual(b"blue", self.heads[0][b"x-account"])
            self.assertNotIn(b"x-account-key", self.heads[0])

    def test_missing_or_unknown_key_is_401(self) -> None:
        key = (b"x-account-key", KEY.encode())
        wrong = [b"", b"k", KEY.upper().encode(), KEY.encode() + b",", b"Bearer " + KEY.encode()]
        for headers in ([], [key, key], *([(b"x-account-key", value)] for value in wrong)):
            self.assertEqual(401, self.call(*headers), headers)
        self.assertEqual(401, self.call(key, accounts=()))

    # Guards against a caller of a public route that passes for an account.
    def test_public_route_needs_no_key_and_drops_the_headers(self) -> None:
        headers = ((b"x-account-key", KEY.encode()), (b"x-account", b"blue"))
        self.assertEqual(200, self.call(*headers, is_public=True))
        self.assertEqual(set(), {b"x-account", b"x-account-key"} & set(self.heads[0]))

    def test_without_accounts_the_headers_are_passed_on(self) -> None:
        self.assertEqual(
            200, self.call((b"x-account-key", b"a"), (b"x-account", b"b"), accounts=None)
        )
        self.assertEqual(b"a", self.heads[0][b"x-account-key"])
        self.assertEqual(b"b", self.heads[0][b"x-account"])

"""Tests of keys: who is let through, and what endpoints receive of it."""

import logging
import unittest

from msgspec.structs import replace

from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.configuration.services import Route
from hingesill_core.organisations.keytable import KeyTable
from hingesill_core.organisations.organisation import Organisation, digest_key
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.fleetview import FleetView
from hingesill_core.routing.messages import Refusal, Ticket
from hingesill_node.blackboard import Blackboard, Configuration
from hingesill_node.datapath.authentication import (
    ANONYMOUS,
    MAX_LOG_LINES_PER_SECOND,
    Authenticator,
    read_bearer_key,
)
from hingesill_node.datapath.headers import build_organisation_header, filter_headers
from hingesill_node.datapath.messages import Body, CallerRequest
from hingesill_node.datapath.refusals import build_refusal_answer

CLOSED = Route("arena", "", "/a/", True, True, 2.0, rank=3)
PUBLIC = Route("arena", "", "/p/", True, True, 2.0, public=True)
BEARER = ("Authorization", "Bearer k1")


def build_configuration(*organisations, revision=1):
    """Return a Configuration with the given organisations."""
    by_name = {organisation.name: organisation for organisation in organisations}
    return Configuration(revision, organisations=by_name, keys=KeyTable(organisations))


class BearerKeyTests(unittest.TestCase):
    """Guards against a key that nodes and endpoints would read differently."""

    def test_one_well_formed_header(self):
        for value in ("Bearer k1", "bearer k1", "BEARER   k1", " Bearer k1\t"):
            self.assertEqual(read_bearer_key([("AUTHORIZATION", value)]), "k1")

    def test_malformed_headers(self):
        for value in ("", "Bearer", "Bearer ", "k1", "Basic k1", "Bearer k1 k2"):
            self.assertEqual(read_bearer_key([("Authorization", value)]), "", value)
        for value in ("Bearer k1, Bearer k1", "Bearer k\xe9", "Bearer\tk1"):
            self.assertEqual(read_bearer_key([("Authorization", value)]), "", value)

    def test_no_header_and_two_headers(self):
        self.assertEqual(read_bearer_key([("Host", "a")]), "")
        self.assertEqual(read_bearer_key([BEARER, BEARER]), "")


class AuthenticationCase(unittest.TestCase):
    """An organisation with two keys, and a public and a closed route."""

    def setUp(self):
        # Keeps log records that no test checks off the console.
        handler = logging.NullHandler()
        logging.getLogger("hingesill").addHandler(handler)
        self.addCleanup(logging.getLogger("hingesill").removeHandler, handler)
        self.acme = Organisation("acme", (digest_key("k1"), digest_key("k2")), rank=0)
        self.blackboard = Blackboard(FleetView("dc0", 1, 1))
        self.now = 5.0
        self.authenticator = Authenticator(
            self.blackboard, "X-Name", clock=lambda: self.now
        )
        self.blackboard.configuration = build_configuration(self.acme)


class IdentityTests(AuthenticationCase):
    """Guards against requests that run without a valid key, or under another one's."""

    def identify(self, *pairs, route=CLOSED):
        return self.authenticator.identify(pairs, route, "r1")

    def test_a_known_key(self):
        identity = self.identify(BEARER)
        self.assertIs(identity.organisation, self.acme)
        self.assertEqual(identity.key_digest, digest_key("k1"))

    def test_no_unknown_or_second_key_is_let_through(self):
        for pairs in ((), (("Authorization", "Bearer K1"),), (BEARER, BEARER)):
            refusal = self.identify(*pairs)
            self.assertIs(refusal.reason, RefusalReason.UNAUTHENTICATED)
            answer = build_refusal_answer(refusal, "r1")
            self.assertTrue(answer.status.startswith("401"))
            # HTTP clients need the scheme by which they can authenticate.
            self.assertIn(("WWW-Authenticate", "Bearer"), answer.headers)

    def test_an_empty_table_lets_nobody_through(self):
        self.blackboard.configuration = build_configuration()
        self.assertIsInstance(self.identify(BEARER), Refusal)

    def test_no_key_is_needed_on_public_routes_and_without_organisations(self):
        self.assertIs(self.identify(route=PUBLIC), ANONYMOUS)
        self.blackboard.configuration = Configuration(1)
        self.assertIs(self.identify(), ANONYMOUS)

    def test_refused_requests_are_logged_without_keys_and_not_without_bound(self):
        with self.assertLogs("hingesill", "WARNING") as logs:
            for number in range(3 * MAX_LOG_LINES_PER_SECOND):
                self.identify(("Authorization", f"Bearer secret{number}"))
        self.assertEqual(len(logs.records), MAX_LOG_LINES_PER_SECOND)
        for record in logs.records:
            self.assertNotIn("secret", str(vars(record)))

    def test_a_malformed_request_id_is_not_logged(self):
        # The id is checked only after the key; it could be of any length.
        with self.assertLogs("hingesill", "WARNING") as logs:
            self.authenticator.identify((), CLOSED, "x" * 9000)
        self.assertNotIn("xxx", str(vars(logs.records[0])))

    def test_the_rank_of_the_organisation_goes_before_that_of_the_route(self):
        self.assertEqual(Ticket(CLOSED, 0.0, 1.0).rank, 3)
        self.assertEqual(Ticket(CLOSED, 0.0, 1.0, organisation=self.acme).rank, 0)


class DroppedHeaderTests(AuthenticationCase):
    """Guards against endpoints that get a key, or a name that the caller chose."""

    def drop(self, *pairs, route=CLOSED):
        return self.authenticator.list_dropped_headers(pairs, route)

    def test_closed_routes(self):
        expected = {"authorization", "x-name", "x_name"}
        self.assertEqual(self.drop(BEARER), expected)

    def test_public_routes_keep_an_authorization_of_their_own(self):
        self.assertEqual(self.drop(route=PUBLIC), {"x-name", "x_name"})
        other = ("Authorization", "Bearer other")
        self.assertEqual(self.drop(other, route=PUBLIC), {"x-name", "x_name"})
        self.assertIn("authorization", self.drop(BEARER, route=PUBLIC))

    def test_public_routes_get_no_key_in_a_malformed_authorization(self):
        # Read as the one key of a caller, none of these is a key; endpoints got it.
        for value in ("Basic k1", "k1", "Bearer k1, Bearer k2", "Bearer\tk1 x"):
            pairs = (("Authorization", value),)
            self.assertIn("authorization", self.drop(*pairs, route=PUBLIC), value)
        self.assertIn("authorization", self.drop(BEARER, BEARER, route=PUBLIC))
        long = ("Authorization", "x " * 100 + "k1")
        self.assertIn("authorization", self.drop(long, route=PUBLIC))

    def test_nothing_is_dropped_without_organisations(self):
        self.blackboard.configuration = Configuration(1)
        self.assertEqual(self.drop(BEARER), frozenset())

    def test_the_name_that_endpoints_receive(self):
        self.assertEqual(
            build_organisation_header("X-Name", self.acme), [("X-Name", "acme")]
        )
        self.assertEqual(build_organisation_header("X-Name", None), [])
        header = build_organisation_header("X-Name", Organisation("Żubr"))
        self.assertEqual(header[0][1].encode("latin-1"), "Żubr".encode())


class CheckAgainTests(AuthenticationCase):
    """Guards against sends under a key that went while the request waited.

    The headers of a request were filtered only on arrival, by the configuration of that
    time; a later table of keys did not apply to them.
    """

    def setUp(self):
        super().setUp()
        self.arrive(BEARER)

    def arrive(self, *pairs, route=CLOSED):
        """Build the request that waits as the application does on arrival."""
        identity = self.authenticator.identify(pairs, route, "r1")
        dropped = self.authenticator.list_dropped_headers(pairs, route)
        self.ticket = Ticket(
            route,
            0.0,
            1.0,
            organisation=identity.organisation,
            key_digest=identity.key_digest,
        )
        self.request = CallerRequest(
            "r1",
            "GET",
            route.path,
            list(filter_headers(pairs, dropped)),
            Body(b"", 0),
            self.ticket,
            keys=self.blackboard.configuration.keys,
        )

    def change(self, *organisations, routes=(CLOSED, PUBLIC)):
        """Put another configuration in force."""
        configuration = build_configuration(*organisations, revision=2)
        self.blackboard.configuration = replace(
            configuration, routes=RouteTable(routes)
        )

    def check(self):
        return self.authenticator.check_again(self.request)

    def assert_unauthenticated(self, outcome=Outcome.NOT_RUN):
        expected = Refusal(RefusalReason.UNAUTHENTICATED, outcome)
        self.assertEqual(self.check(), expected)

    def test_an_unchanged_key(self):
        self.assertIsNone(self.check())
        self.assertIs(self.ticket.organisation, self.acme)

    def test_a_removed_key(self):
        self.change(Organisation("acme"))
        self.assert_unauthenticated()
        self.assert_unauthenticated()

    def test_a_request_that_may_have_run_is_not_called_unauthorized(self):
        self.change(Organisation("acme"))
        self.ticket.exposed = True
        refusal = self.check()
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
        self.assertTrue(build_refusal_answer(refusal, "r1").status.startswith("502"))

    def test_a_key_that_moved_to_another_organisation(self):
        moved = Organisation("zenith", (digest_key("k1"),), rank=7)
        self.change(moved)
        self.assertIsNone(self.check())
        self.assertEqual((self.ticket.organisation, self.ticket.rank), (moved, 7))

    def test_requests_from_before_there_were_organisations(self):
        self.blackboard.configuration = Configuration(1)
        self.arrive(BEARER, ("X-Name", "zenith"), ("Accept", "a"))
        self.assertEqual(len(self.request.headers), 3)
        self.change(self.acme)
        self.assertIsNone(self.check())
        self.assertIs(self.ticket.organisation, self.acme)
        self.assertEqual(self.request.headers, [("Accept", "a")])
        for pairs in ((), (("Authorization", "Bearer k9"),), (BEARER, BEARER)):
            self.blackboard.configuration = Configuration(1)
            self.arrive(*pairs)
            self.change(self.acme)
            self.assert_unauthenticated()

    def test_a_public_route_from_before_there_were_organisations(self):
        self.blackboard.configuration = Configuration(1)
        self.arrive(BEARER, ("X-Name", "zenith"), ("Accept", "a"), route=PUBLIC)
        self.change(self.acme)
        self.assertIsNone(self.check())
        self.assertEqual(self.request.headers, [("Accept", "a")])

    def test_an_authorization_that_becomes_a_key_on_a_public_route(self):
        self.arrive(("Authorization", "Bearer k9"), route=PUBLIC)
        self.assertEqual(len(self.request.headers), 1)
        self.change(self.acme, Organisation("new", (digest_key("k9"),)))
        self.assertIsNone(self.check())
        self.assertEqual(self.request.headers, [])
        self.assertIsNone(self.ticket.organisation)

    def test_a_route_that_is_no_longer_public(self):
        closed = replace(PUBLIC, public=False)
        self.arrive(route=PUBLIC)
        self.change(self.acme, routes=(closed,))
        self.assert_unauthenticated()

    def test_a_route_that_becomes_public(self):
        self.change(routes=(replace(CLOSED, public=True),))
        self.assertIsNone(self.check())
        self.assertIsNone(self.ticket.organisation)


if __name__ == "__main__":
    unittest.main()

"""Tests of the options of the edge role."""

import unittest

from dogwoodspool_common import SettingsError
from dogwoodspool_platform.edge_options import EdgeOptions, read_edge_options
from dogwoodspool_pooler.queue_orders import QueueOrderName

NONE_GIVEN = {"--primary-owners": False, "--queue-order": None}


class EdgeOptionsTests(unittest.TestCase):
    """Flags go before environment variables, and unknown names are rejected."""

    def test_nothing_new_is_in_force_without_options(self) -> None:
        """Guard against new behaviour in deployments that did not ask for it."""
        expected = EdgeOptions(
            uses_primary_owners=False, queue_order=QueueOrderName.ARRIVAL
        )
        self.assertEqual(read_edge_options(NONE_GIVEN, {}), expected)

    def test_flags_go_before_environment_variables(self) -> None:
        environment = {
            "DOGWOODSPOOL_QUEUE_ORDER": "target",
            "DOGWOODSPOOL_PRIMARY_OWNERS": "true",
        }
        options = read_edge_options(NONE_GIVEN, environment)
        self.assertEqual(options, EdgeOptions(True, QueueOrderName.TARGET))
        given = {**NONE_GIVEN, "--queue-order": "priority"}
        options = read_edge_options(given, environment)
        self.assertIs(options.queue_order, QueueOrderName.PRIORITY)

    def test_other_values_of_the_variable_are_rejected(self) -> None:
        """Guard against a setting that is ignored without a word."""
        with self.assertRaisesRegex(SettingsError, "'1'.*true or false"):
            read_edge_options(NONE_GIVEN, {"DOGWOODSPOOL_PRIMARY_OWNERS": "1"})

    def test_unknown_order_is_named_with_the_known_ones(self) -> None:
        given = {**NONE_GIVEN, "--queue-order": "newest"}
        with self.assertRaisesRegex(SettingsError, "'newest'.*arrival, target"):
            read_edge_options(given, {})

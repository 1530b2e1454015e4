"""Errors of deployments for tests, the demo and measurements."""

from dogwoodspool_common import DogwoodspoolError


class TestbedError(DogwoodspoolError):
    """Report a deployment that did not reach an expected state in time."""

    __test__ = False

"""Errors of deployments for tests, demo and measurements."""

from dogwoodspool_common import DogwoodspoolError


class TestbedError(DogwoodspoolError):
    """Report a deployment that does not get where it should."""

    __test__ = False

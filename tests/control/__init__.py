"""Tests of the control library."""

from loguru import logger

logger.disable("dogwoodspool_control")

"""The codecs of all peers, made once and shared by their state machines."""

from collections.abc import Callable

from ..config import Config
from ..registry import ObjectRegistry
from .wire_endpoint_list import EndpointListDecoder
from .wire_relay import RelayCodec
from .wire_reports import ReportDecoder


class PeerCodecs:
    """Maps the peers' messages to events and orders, over one registry and one configuration.

    Requests and framing stay with the modules that own the connections.
    """

    def __init__(
        self,
        config: Config,
        registry: ObjectRegistry,
        wall_offset_ms: Callable[[], float],
        now_ms: Callable[[], float],
    ) -> None:
        """`wall_offset_ms()`: what to add to Unix milliseconds to get the clock's."""
        self.registry = registry
        self.settings = config.settings
        self.reports = ReportDecoder(config, registry)
        self.endpoint_list = EndpointListDecoder(config, registry, wall_offset_ms, now_ms)
        self.relay = RelayCodec(config)

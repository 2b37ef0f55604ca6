"""The message codecs of all peers, shared by their state machines."""

from collections.abc import Callable

from ..config import Config
from ..registry import ObjectRegistry
from .wire_endpoint_list import EndpointListDecoder
from .wire_relay import RelayCodec
from .wire_reports import ReportDecoder


class PeerCodecs:
    """Decodes messages to events and encodes orders, with one registry and one configuration.

    Requests and framing belong to the modules that own the connections.
    """

    def __init__(
        self,
        config: Config,
        registry: ObjectRegistry,
        wall_offset_ms: Callable[[], float],
        now_ms: Callable[[], float],
    ) -> None:
        """`wall_offset_ms()`: what is added to Unix time (ms) to get the event loop's time."""
        self.registry = registry
        self.settings = config.settings
        self.reports = ReportDecoder(config, registry)
        self.endpoint_list = EndpointListDecoder(config, registry, wall_offset_ms, now_ms)
        self.relay = RelayCodec(config)

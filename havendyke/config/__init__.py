"""The configuration that the platform writes: reading, validation and defaults.

`loading` reads the file, `deployment` the settings and names of the deployment, `limits` the sizes,
counts and times of this program. No other module knows a key of the file.
"""

from .deployment import WireNames, read_settings
from .limits import ConnectionLimits, Limits
from .loading import Config, ConfigError, load_config, parse_address, parse_config, read_config

__all__ = [
    "Config",
    "ConfigError",
    "ConnectionLimits",
    "Limits",
    "WireNames",
    "load_config",
    "parse_address",
    "parse_config",
    "read_config",
    "read_settings",
]

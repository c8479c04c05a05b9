"""Settings of one node, read from YAML and validated against the schema."""

from anviltray.settings import _generated
from anviltray.settings._generated import *
from anviltray.settings._host import Guarantees, HostSettings
from anviltray.settings._load import load_settings

__all__ = ["Guarantees", "HostSettings", "load_settings"]
__all__ += _generated.__all__

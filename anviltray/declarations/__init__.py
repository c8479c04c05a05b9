"""Declarations of operators: services, upstreams, floors, routes and retry rules."""

from anviltray.declarations import _generated
from anviltray.declarations._documents import Change, as_document, difference
from anviltray.declarations._generated import *
from anviltray.declarations._load import load_declarations, parse_declarations
from anviltray.declarations._prefix_index import PrefixIndex
from anviltray.declarations._routing import (
    ClientAccount,
    Destination,
    InputLimits,
    Instance,
    PrefixRoute,
    RoutedService,
    RoutingConfiguration,
)

__all__ = [
    "Change",
    "ClientAccount",
    "Destination",
    "InputLimits",
    "Instance",
    "PrefixIndex",
    "PrefixRoute",
    "RoutedService",
    "RoutingConfiguration",
    "as_document",
    "difference",
    "load_declarations",
    "parse_declarations",
]
__all__ += _generated.__all__

"""What operators declare: services, upstreams, floors, routes and retry rules."""

from anviltray.declarations import _generated
from anviltray.declarations._documents import Change, as_document, difference
from anviltray.declarations._generated import *
from anviltray.declarations._load import load_declarations, parse_declarations

__all__ = ["Change", "as_document", "difference", "load_declarations", "parse_declarations"]
__all__ += _generated.__all__

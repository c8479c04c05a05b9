"""Route lookup by host and longest path prefix."""

from collections.abc import Iterable

from anviltray.declarations._routing import PrefixRoute


class PrefixIndex:
    """Routes by host and path prefix; the longest prefix wins.

    Example: with the prefixes `/a/` and `/a/b/`, `find(host, "/a/b/c")` returns the second route
    and `find(host, "/ab")` returns None.
    """

    def __init__(self, routes: Iterable[PrefixRoute] = ()) -> None:
        self._routes = {(route.host, route.prefix): route for route in routes}

    def find(self, host: str, path: str) -> PrefixRoute | None:
        """Returns the route for a Host header and a path, or None."""
        host = host.lower()
        end = path.rfind("/") + 1
        while end > 0:
            route = self._routes.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

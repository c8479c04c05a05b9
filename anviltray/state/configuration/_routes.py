"""Lookup of the service that a request belongs to."""

from collections.abc import Iterator, Mapping
from sys import intern

from anviltray.declarations import Route, Service


class RouteTable:
    """Routes by host and path prefix, updated one service at a time.

    The longest prefix of whole path segments wins. Of two routes with the same prefix, the one for
    the request's host wins over the one for any host. `services` is a live view of the fold's
    services. All routes are in one dictionary keyed by `host + prefix`, because a dictionary per
    host would take more memory than the routes. The key is unambiguous, since a host contains no
    slash.

    Example: with a route `/stock`, `route("any", "/stock/1")` finds its service and
    `route("any", "/stocks")` does not.
    """

    def __init__(self, services: Mapping[str, Service]) -> None:
        self._services = services
        self._service_names: dict[str, str] = {}
        for service in services.values():
            self.update(None, service)

    def __len__(self) -> int:
        return len(self._service_names)

    def update(self, old: Service | None, new: Service | None) -> None:
        """Replaces the routes of `old` with those of `new`; None means no service."""
        if old is not None:
            for route in old.routes:
                self._service_names.pop(_key(route), None)
        if new is not None:
            name = intern(new.name)
            for route in new.routes:
                self._service_names[_key(route)] = name

    def owner(self, route: Route) -> str | None:
        """Returns the name of the service that has a route for exactly this host and prefix."""
        return self._service_names.get(_key(route))

    def route(self, host: str, path: str) -> Service | None:
        """Returns the service for the Host header `host` and the path `path`, or None."""
        host_name = _host_name(host)
        service_names = self._service_names
        for prefix in _prefixes(path):
            name = service_names.get(host_name + prefix) or service_names.get(prefix)
            if name is not None:
                return self._services.get(name)
        return None


def _key(route: Route) -> str:
    return _host_name(route.host) + _canonical(route.prefix)


def _canonical(prefix: str) -> str:
    """Returns a prefix without its trailing slash, which adds no segment; the root is "/"."""
    return prefix.rstrip("/") or "/"


def _host_name(host: str) -> str:
    """Returns the value of a Host header in lower case, without the port."""
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit() and not name.endswith(":"):
        host = name
    return host.lower()


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end at a segment boundary, longest first."""
    end = len(path)
    while end > 0:
        prefix = path[:end]
        if not prefix.endswith("/"):
            yield prefix
        end = path.rfind("/", 0, end)
    yield "/"

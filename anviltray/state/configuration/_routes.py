"""Lookup of the service of a request."""

from collections.abc import Iterator, Mapping
from sys import intern

from anviltray.declarations import Route, Service


class RouteTable:
    """Routes by host and path prefix, kept up to date service by service.

    The longest prefix on whole segments wins; of two routes with the same prefix, the one with the
    request's host wins over the one for any host. `services` is the live mapping of the fold. One
    dictionary with `host + prefix` as the key holds all routes, because a dictionary for each host
    would take more memory than the routes; a host contains no slash, so the key is unambiguous.

    Example: with a route `/stock`, `route("any", "/stock/1")` finds its service and
    `route("any", "/stocks")` does not.
    """

    def __init__(self, services: Mapping[str, Service]) -> None:
        self._services = services
        self._names: dict[str, str] = {}
        for service in services.values():
            self.update(None, service)

    def __len__(self) -> int:
        return len(self._names)

    def update(self, old: Service | None, new: Service | None) -> None:
        """Replaces the routes of `old` by those of `new`; None stands for no service."""
        if old is not None:
            for route in old.routes:
                self._names.pop(_key(route), None)
        if new is not None:
            name = intern(new.name)
            for route in new.routes:
                self._names[_key(route)] = name

    def owner(self, route: Route) -> str | None:
        """Returns the service that has a route for exactly this host and prefix."""
        return self._names.get(_key(route))

    def route(self, host: str, path: str) -> Service | None:
        """Returns the service of a request with the header `host` and the path `path`."""
        wanted = _host_name(host)
        names = self._names
        for prefix in _prefixes(path):
            name = names.get(wanted + prefix) or names.get(prefix)
            if name is not None:
                return self._services.get(name)
        return None


def _key(route: Route) -> str:
    return _host_name(route.host) + _canonical(route.prefix)


def _canonical(prefix: str) -> str:
    """Returns a prefix without a final slash, which adds no segment; the root is "/"."""
    return prefix.rstrip("/") or "/"


def _host_name(host: str) -> str:
    """Returns a Host header in lower case and without its port."""
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit() and not name.endswith(":"):
        host = name
    return host.lower()


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path on whole segments, longest first."""
    end = len(path)
    while end > 0:
        prefix = path[:end]
        if not prefix.endswith("/"):
            yield prefix
        end = path.rfind("/", 0, end)
    yield "/"

"""Services and commands for the tests of the state package."""

from anviltray.declarations import Route, Service, Upstream
from anviltray.state.configuration import put_service


def make_service(name="desk", slots=6, prefix=None, upstreams=2):
    """Returns a service with upstreams in one zone."""
    return Service(
        name,
        tuple(
            Upstream(f"10.0.0.{i + 1}:80", "viti", "a", slots, "active") for i in range(upstreams)
        ),
        (Route(prefix or f"/{name}", ""),),
        0,
        0.5,
        "balanced",
        0.999,
        1000.0,
        (),
    )


def put(service, based_on=-1, command_id=None):
    """Returns a put command, with a chosen identifier if given."""
    command = put_service(service, based_on=based_on, who="ana", why="test", issued_unix_s=0.0)
    return command._replace(command_id=command_id) if command_id else command

"""HTTP control calls of a relay."""

import falcon
import falcon.asgi

from standins._serving import HttpServer, read_object
from standins.relay._relay import Direction, Relay

_KEYS = {"action", "directions", "source", "number"}


class RelayControl:
    """Serves control calls that inject and remove the faults of a relay.

    `POST /control/relay` takes `{"action": a}` with `cut` (and `directions`, `source`), `heal`,
    `silence_current` (`source`), `silence` (`number`), `reset_current` (`source`), `refuse` or
    `listen`. `GET /control/relay` returns the current connections.
    """

    def __init__(self, relay: Relay, address: str = "127.0.0.1:0") -> None:
        self._relay = relay
        application = falcon.asgi.App()
        application.add_route("/control/relay", self)
        self._server = HttpServer(application, address)

    async def start(self) -> str:
        """Listens and returns the address."""
        return await self._server.start()

    async def close(self) -> None:
        """Stops the control server; the relay keeps running."""
        await self._server.close()

    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Returns the current connections."""
        response.media = {
            "address": self._relay.address,
            "target": self._relay.target,
            "connections": [
                {
                    "number": each.number,
                    "source": each.source,
                    "silent": each.silent,
                    "forwarded": each.forwarded,
                }
                for each in self._relay.connections.values()
            ],
        }

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Applies one action."""
        data = await read_object(request)
        source = data.get("source", "")
        if not data.keys() <= _KEYS or not isinstance(source, str):
            raise falcon.HTTPBadRequest(description=f"allowed keys are {sorted(_KEYS)}")
        try:
            match data.get("action"):
                case "cut":
                    directions = [Direction(each) for each in data.get("directions", Direction)]
                    self._relay.cut(directions, source)
                case "heal":
                    self._relay.heal()
                case "silence_current":
                    self._relay.silence_current(source)
                case "silence":
                    self._relay.silence(data["number"])
                case "reset_current":
                    self._relay.reset_current(source)
                case "refuse":
                    self._relay.refuse()
                case "listen":
                    await self._relay.listen()
                case other:
                    raise ValueError(f"unknown action {other!r}")
        except (KeyError, TypeError, ValueError) as error:
            raise falcon.HTTPBadRequest(description=f"{error}") from error
        response.media = {"action": data["action"]}

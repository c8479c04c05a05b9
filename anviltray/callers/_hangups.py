"""Notices that callers close connections from which the process does not read at the moment.

While reading is paused, the end of a connection is behind input that nobody reads. The kernel
reports it apart from input (`EPOLLRDHUP`), which the selectors of asyncio do not offer. One epoll
instance for all paused connections is therefore a file of the event loop itself.
"""

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable

# An event of a connection is reported once: it remains true until the connection is lost.
_CLOSED_BY_PEER = getattr(select, "EPOLLRDHUP", 0) | getattr(select, "EPOLLONESHOT", 0)


class HangupWatch:
    """Calls a handler when the peer of a watched connection has closed it or its sending side.

    A closed sending side counts like a closed connection, as it does while input is read. Without
    epoll, on platforms other than Linux, nothing is reported.

    Example: `watch.add(sock, on_hangup)`, and `watch.discard(sock)` before `sock` is closed.
    """

    def __init__(self) -> None:
        self._epoll: select.epoll | None = None  # Created for the first connection.
        self._loop: asyncio.AbstractEventLoop | None = None
        self._handlers: dict[int, Callable[[], None]] = {}  # By file descriptor.

    def add(self, sock: socket.socket, on_hangup: Callable[[], None]) -> None:
        """Watches a connection; also reports an end that has arrived already."""
        if not hasattr(select, "epoll"):
            return
        if self._epoll is None:
            self._epoll = select.epoll()
            self._loop = asyncio.get_running_loop()
            self._loop.add_reader(self._epoll.fileno(), self._report)
        descriptor = sock.fileno()
        if descriptor < 0 or descriptor in self._handlers:
            return
        self._epoll.register(descriptor, _CLOSED_BY_PEER)
        self._handlers[descriptor] = on_hangup

    def discard(self, sock: socket.socket) -> None:
        """Ends the watch of a connection, if there is one."""
        descriptor = sock.fileno()
        if self._handlers.pop(descriptor, None) is not None and self._epoll is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(descriptor)

    def close(self) -> None:
        """Ends all watches."""
        self._handlers.clear()
        if self._epoll is not None and self._loop is not None:
            self._loop.remove_reader(self._epoll.fileno())
            self._epoll.close()
        self._epoll = self._loop = None

    def _report(self) -> None:
        if self._epoll is None:
            return
        for descriptor, _ in self._epoll.poll(0):
            handler = self._handlers.get(descriptor)
            if handler is not None:
                handler()


__all__ = ["HangupWatch"]

"""Whether an idle connection can carry another exchange."""

import select

from aiohttp.client_proto import ResponseHandler


def is_reusable(protocol: ResponseHandler) -> bool:
    """Returns whether an idle connection is open and has no unread input.

    Input on an idle connection is an end of file or a late response, which would be mistaken for
    the response to the next request.
    """
    transport = protocol.transport
    if transport is None or transport.is_closing() or protocol.should_close:
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poller.poll(0)

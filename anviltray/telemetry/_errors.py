"""Text of errors for log lines."""


def describe_error(error: BaseException) -> str:
    """Returns the message of an error, or the name of its type if it has none.

    Timeouts, for example, have no message.
    """
    return str(error) or type(error).__name__

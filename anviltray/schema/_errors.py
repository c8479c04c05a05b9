"""Error of the schemas."""


class DocumentError(ValueError):
    """A document does not match its schema; the message is one line for an operator."""

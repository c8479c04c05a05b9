"""Error of schema validation."""


class DocumentError(ValueError):
    """A document does not match its schema; the message is one line, meant for operators."""

"""Schema files and the validation of YAML documents against them."""

from anviltray.schema._validation import DocumentError, load_document, validate_document

__all__ = ["DocumentError", "load_document", "validate_document"]

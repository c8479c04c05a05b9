"""Keys of callers, and the client accounts that hold them."""

from anviltray.decisions.accounts._credentials import Credentials, KeyFault, read_credentials
from anviltray.decisions.accounts._index import AccountIndex, AccountIndexer

__all__ = ["AccountIndex", "AccountIndexer", "Credentials", "KeyFault", "read_credentials"]

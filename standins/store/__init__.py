"""Stand-in for the store of the users' platform: keyed topics over HTTP."""

from standins.store._application import StoreConditions, StoreStandin, encode_record

__all__ = ["StoreConditions", "StoreStandin", "encode_record"]

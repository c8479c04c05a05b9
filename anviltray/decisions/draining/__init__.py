"""Draining: upstreams that are leaving, merged from every source."""

from anviltray.decisions.draining._leaving import LeavingSet

__all__ = ["LeavingSet"]

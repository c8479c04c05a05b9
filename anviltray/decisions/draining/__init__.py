"""Draining: upstreams that are leaving, merged from every source."""

from anviltray.decisions.draining._leaving import DrainingSet

__all__ = ["DrainingSet"]

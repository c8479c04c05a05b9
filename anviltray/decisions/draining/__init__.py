"""Draining upstreams, merged from all sources."""

from anviltray.decisions.draining._draining_set import DrainingSet

__all__ = ["DrainingSet"]

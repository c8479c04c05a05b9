"""Measurements of the targets and their baselines."""

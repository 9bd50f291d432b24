"""Simulated databases, stores and fleets, for trials and tests only."""

"""Adapter for the simulation bench: runs controllers behind a JSON lines protocol."""

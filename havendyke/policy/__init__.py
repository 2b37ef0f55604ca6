"""The controller's decisions and their tuning constants, one module per concern."""

from .controller import Controller

__all__ = ["Controller"]

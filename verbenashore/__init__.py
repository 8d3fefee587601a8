"""Online and batch inference on one shared fleet."""

from verbenashore.version import __version__

__all__ = ["__version__"]

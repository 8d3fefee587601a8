"""The version of this package."""

__version__ = "0.1.0"

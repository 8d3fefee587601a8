"""Runs the models of the protocols."""

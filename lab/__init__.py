"""Experiments: a deployment on loopback, loads, measurements."""

"""Test deployments on loopback, load generation, measurements and mutation tests."""

"""The tests; each module mirrors one of the package."""

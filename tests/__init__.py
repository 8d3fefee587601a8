"""The tests; most modules test the module of the package that has the same name."""

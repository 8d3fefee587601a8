"""Small stand-ins for the systems around verbenashore: backend servers, platform and network."""

"""Small stand-ins for the systems that verbenashore serves and is served by."""

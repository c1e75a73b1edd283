"""The platform's store: interface, watches, and the relay of changes between hosts."""

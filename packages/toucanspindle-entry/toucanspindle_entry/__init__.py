"""The entry process: one program per host that serves callers and shares decisions by datagram."""

"""The other entry hosts: discovery, probes, and the datagrams between hosts."""

"""The entry process: runs on each host, serves callers, and coordinates by UDP datagrams."""

"""The processes of an entry host: the proxy (data path) and the agent (control path)."""

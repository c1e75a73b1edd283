"""The processes of an entry host: the proxy and the agent."""

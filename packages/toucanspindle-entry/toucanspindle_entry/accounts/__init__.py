"""Client accounts: keys, the time limit for revoked keys, and quotas over all hosts."""

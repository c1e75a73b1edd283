"""toucanctl, the command line of toucanspindle for operators and callers."""

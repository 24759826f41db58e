"""The RPC server for callers and operators, and the command line."""

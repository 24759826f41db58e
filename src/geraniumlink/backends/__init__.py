"""The state of each backend server, and the protocol spoken with it."""

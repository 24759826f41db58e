"""Which replica holds which model and adapter, and who decides it.

One instance at a time holds the lease of the controller and orders all
replicas; the others tell it what is asked for. ``docs/design/platform.md``
says why, and what a takeover costs.
"""

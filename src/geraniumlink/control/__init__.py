"""Decides which models each replica holds and orders their engines to load.

One instance controls each deployment at a time, under a lease; a ledger for
each replica records the memory that is or may become used.
"""

"""Simulates instances over emulated engines, in virtual time.

The instances run the product's own code: forwarding, choice of replicas,
controller protocol, lease, planner and orders. Engines, clients, network and
store are emulated; see ``docs/design/emulator.md``.
"""

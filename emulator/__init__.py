"""Plays instances over emulated engines, in time that costs nothing.

The instances run the product's own code: forwarding, choice of replicas,
controller protocol, lease, planner and orders. Engines, clients, network and
store are emulated, as ``docs/design/emulator.md`` says.
"""

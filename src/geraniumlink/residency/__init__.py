"""Placement of models and adapters on replicas, and its controller.

One instance at a time holds the controller's lease and sends orders to all
replicas; the other instances report demand to it. The reasons, and the cost
of a takeover, are in ``docs/design/platform.md``.
"""

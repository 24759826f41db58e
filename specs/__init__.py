"""Formal models of the core protocols, checked by a model checker.

Each module models one protocol and its faults; its steps have the names that
the running code gives them in its log lines. Each model has switches that
leave out one mechanism. ``tests/test_specs_*.py`` check that every invariant
holds, and that each mechanism left out gives a counterexample.
"""

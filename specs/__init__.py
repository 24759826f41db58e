"""Small specifications of the core protocols, for the model checker.

Each module describes one protocol with its faults, names its steps as the
running code names them in its log lines, and has switches that leave out one
mechanism each. ``tests/test_specs_*.py`` check every invariant, and that
each mechanism left out gives a counterexample.
"""

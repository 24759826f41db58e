"""Measurements; none of them runs in CI but for its correctness."""

"""Code generated from ``schema/geraniumlink.proto``; see its comments."""

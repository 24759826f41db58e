"""Serves a request of the product's own interface, from queue to answer."""

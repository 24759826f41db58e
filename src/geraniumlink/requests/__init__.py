"""Serves the requests of the Inference and Calls interfaces."""

"""The instances that are alive, and how to reach them."""

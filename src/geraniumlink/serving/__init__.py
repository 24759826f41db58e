"""Request path: routing, load balancing, attempts and responses."""

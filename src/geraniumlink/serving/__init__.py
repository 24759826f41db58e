"""The way of a request: routing, admission, attempts and answers."""

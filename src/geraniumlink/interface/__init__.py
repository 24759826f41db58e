"""The product's interface: remote procedure calls and command line."""

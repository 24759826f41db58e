"""What is known of each backend server, and how to talk to it."""

"""Membership: which instances exist, their state and addresses."""

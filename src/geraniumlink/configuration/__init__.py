"""Deployments: declared, checked, changed and in force everywhere."""

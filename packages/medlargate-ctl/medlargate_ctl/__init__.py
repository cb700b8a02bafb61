"""Operators' command line of medlargate."""

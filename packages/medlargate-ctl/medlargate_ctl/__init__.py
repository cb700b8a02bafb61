"""Command-line client for operators of medlargate."""

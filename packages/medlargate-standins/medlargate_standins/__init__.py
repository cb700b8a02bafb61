"""Simulated platform, engines, backend servers and plain services for tests."""

"""Small stand-ins for what medlargate meets: platform, engines, plain services."""

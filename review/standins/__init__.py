"""Stand-ins for the platform, upstreams and clients, without dependencies."""

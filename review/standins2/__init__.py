"""Stand-ins of the second review: store, upstreams, clients, daemons."""

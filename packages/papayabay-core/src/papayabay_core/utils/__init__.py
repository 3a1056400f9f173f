"""Small stateless helper functions."""

"""The daemon beside each target: admission, routing, retries and state."""

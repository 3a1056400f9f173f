"""Flow of a call: entry, attempts, the call tree and cancellation."""

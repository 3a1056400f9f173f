"""Code shared by papayabay's programs: settings, policy, errors, messages."""

"""`accounts digest`: computes the digest by which a policy names a key."""

import sys


class AccountsDigestCommand:
    """Prints the digest of a key that it reads from standard input."""

    def run(self):
        """Print the digest of the key on the first line of standard input.

        A key given as an argument would be visible in the list of processes
        and in the shell's history. Exit codes: 0 printed; 2 wrong usage, such
        as an empty line.
        """
        from papayabay_cli.errors import UsageError
        from papayabay_core.account_keys import digest_key

        key = sys.stdin.readline().strip()
        if not key:
            raise UsageError("standard input: the first line is empty; give a key")
        print(digest_key(key))

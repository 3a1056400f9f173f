"""Proof that patches handed to a daemon come from an operator."""

import hmac

PROOF_HEADER = "Papayabay-Cluster-Proof"
PURPOSE = b"papayabay patches\n"
"""Sets these proofs apart from all else that the secret authenticates."""


def prove_patches(secret, content):
    """Return the hexadecimal HMAC-SHA256 over encoded patches.

    Parameters
    ----------
    secret : str
        The cluster's.
    content : bytes
    """
    return hmac.digest(secret.encode(), PURPOSE + content, "sha256").hex()


def verify_proof(secret, content, proof):
    """Return whether a proof is right for encoded patches."""
    expected = prove_patches(secret, content).encode()
    return hmac.compare_digest(expected, proof.encode("utf-8", "surrogateescape"))

"""Authentication of patches that an operator sends to a daemon."""

import hmac

PROOF_HEADER = "Papayabay-Cluster-Proof"
PURPOSE = b"papayabay patches\n"
"""Prefix of the authenticated bytes, so that no other message that is
authenticated with the cluster secret can pass for patches."""


def prove_patches(secret, content):
    """Return the hexadecimal HMAC-SHA256 over encoded patches.

    Parameters
    ----------
    secret : str
        The cluster secret.
    content : bytes
        Patches, as encoded by `encode_patches`.
    """
    return hmac.digest(secret.encode(), PURPOSE + content, "sha256").hex()


def verify_proof(secret, content, proof):
    """Return whether a proof is valid for encoded patches."""
    expected = prove_patches(secret, content).encode()
    return hmac.compare_digest(expected, proof.encode("utf-8", "surrogateescape"))

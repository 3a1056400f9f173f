"""The configuration: numbered versions of the policy, made by patches."""

from papayabay_core.configuration.log import ConfigurationLog
from papayabay_core.configuration.merge import changed_keys, diff_documents, merge_patch
from papayabay_core.configuration.patch import Patch, new_patch
from papayabay_core.configuration.proof import (
    PROOF_HEADER,
    prove_patches,
    verify_proof,
)
from papayabay_core.configuration.records import CorruptRecord, UpgradeNeeded
from papayabay_core.configuration.results import CommitOutcome, CommitResult
from papayabay_core.configuration.snapshot import (
    decode_configuration,
    encode_configuration,
)
from papayabay_core.configuration.state import Configuration
from papayabay_core.configuration.transfer import decode_patches, encode_patches

__all__ = [
    "PROOF_HEADER",
    "CommitOutcome",
    "CommitResult",
    "Configuration",
    "ConfigurationLog",
    "CorruptRecord",
    "Patch",
    "UpgradeNeeded",
    "changed_keys",
    "decode_configuration",
    "decode_patches",
    "diff_documents",
    "encode_configuration",
    "encode_patches",
    "verify_proof",
    "merge_patch",
    "new_patch",
    "prove_patches",
]

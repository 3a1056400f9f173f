"""One version of the configuration, and applying the next patch."""

import json
from dataclasses import dataclass, field

from papayabay_core.configuration.merge import merge_patch
from papayabay_core.exceptions import PolicyError, StaleVersion
from papayabay_core.policy.document import validate_change, validate_policy
from papayabay_core.policy.rules import Policy

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Configuration:
    """All values of one version.

    Attributes
    ----------
    version : int
        0 before any patch.
    values : dict
        Plain values of the policy document; must not be modified.
    confirmed : bool
        Whether the table service reported this as its newest version.
    snapshot_version : int
        Version of the snapshot that it was loaded from; 0 if none was used.
    """

    version: int = 0
    values: dict = field(default_factory=dict)
    confirmed: bool = False
    snapshot_version: int = 0

    def policy(self, previous=None, previous_policy=None):
        """Return the compiled policy.

        Parameters
        ----------
        previous : Configuration or None
            An earlier version from which patches made this one. Services that
            they did not change are not compiled again.
        previous_policy : Policy or None
            The policy of `previous`.

        Raises
        ------
        PolicyError
            When the values are not a policy valid for this release.
        """
        source = f"version {self.version}"
        if previous_policy is None:
            return Policy(validate_policy(self.values, source), self.version)
        document = validate_change(
            self.values, source, previous.values, previous_policy.document
        )
        return Policy(document, self.version, previous_policy)

    def check(self):
        """Raise `PolicyError` if the document is too large or invalid."""
        size = len(json.dumps(self.values))
        if size > MAX_DOCUMENT_BYTES:
            raise PolicyError(
                f"version {self.version}: the policy document has {size} bytes, "
                f"at most {MAX_DOCUMENT_BYTES} are allowed"
            )
        self.policy()

    def apply(self, patch):
        """Return the next version.

        Raises
        ------
        StaleVersion
            When the patch is not for the next version.
        """
        if patch.version != self.version + 1 or patch.base != self.version:
            raise StaleVersion(
                f"patch {patch.patch_id} makes version {patch.version} from version "
                f"{patch.base}; the current version is {self.version}"
            )
        return Configuration(
            version=patch.version,
            values=merge_patch(self.values, patch.patch),
            confirmed=self.confirmed,
            snapshot_version=self.snapshot_version,
        )

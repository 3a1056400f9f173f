"""Policy keys that are still accepted and no longer have an effect."""

DEPRECATED_DECISIONS = ("kept_share", "return_times")
DEPRECATED_ADMISSION = ("overload_hold_ms",)


def deprecated_keys(document):
    """Return the deprecated keys that a policy sets, with their paths.

    Parameters
    ----------
    document : PolicyDocument

    Returns
    -------
    list of str
        Such as ``services.orders.admission.overload_hold_ms``.
    """
    sections = [("decisions", document.decisions, DEPRECATED_DECISIONS)]
    sections += [
        (f"services.{name}.admission", service.admission, DEPRECATED_ADMISSION)
        for name, service in document.services.items()
    ]
    return [
        f"{path}.{key}"
        for path, section, keys in sections
        for key in keys
        if getattr(section, key) is not None
    ]

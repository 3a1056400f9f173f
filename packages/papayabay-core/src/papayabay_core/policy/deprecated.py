"""Policy keys that are still accepted and no longer have an effect."""

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
    return [
        f"services.{name}.admission.{key}"
        for name, service in document.services.items()
        for key in DEPRECATED_ADMISSION
        if getattr(service.admission, key) is not None
    ]

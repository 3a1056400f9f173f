"""Validated models of files, messages and stored records."""

from collections.abc import Callable
from copy import copy
from dataclasses import dataclass
from typing import Any, ClassVar

import msgspec
from msgspec import Struct, convert, structs, to_builtins


@dataclass(frozen=True, slots=True)
class Fault:
    """A validation error of one value.

    Attributes
    ----------
    path : tuple of (str or int)
        Keys and list indices from the outermost table to the value.
    message : str
        What is expected; never the value itself, which may be a secret.
    """

    path: tuple
    message: str

    def __str__(self):
        return f"{'.'.join(map(str, self.path)) or '(whole file)'}: {self.message}"


class InvalidValues(ValueError):
    """Values that are not valid for their model.

    Parameters
    ----------
    faults : list of Fault
        All faults found, at least one.
    """

    def __init__(self, faults):
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


class FieldTable:
    """Descriptor for the fields of a model by name, with their defaults."""

    def __get__(self, instance, owner):
        return {field.name: ModelField(field) for field in structs.fields(owner)}


class ModelField:
    """One field of a model.

    Parameters
    ----------
    field : msgspec.structs.FieldInfo
    """

    def __init__(self, field):
        self.default = field.default
        self.required = field.required

    def is_required(self):
        """Return whether the field has no default."""
        return self.required


class Model(Struct, frozen=True, kw_only=True):
    """Base class of models whose values are checked against their types.

    Uses msgspec, which also decodes calls between daemons; a second library
    would add to the memory and the start-up time of each process.

    Attributes
    ----------
    checks : dict of str to callable
        Further checks by field name; they raise `ValueError`.
    """

    checks: ClassVar[dict[str, Callable[[Any], object]]] = {}
    model_fields = FieldTable()

    def __post_init__(self):
        for name, check in self.checks.items():
            value = getattr(self, name)
            if value is not None:
                check(value)

    @classmethod
    def model_validate(cls, values):
        """Return a model made from plain values; raises `InvalidValues`."""
        try:
            return convert(values, cls)
        except (msgspec.ValidationError, RecursionError) as error:
            raise InvalidValues(cls.faults_of(values, error)) from None

    @classmethod
    def model_validate_json(cls, content):
        """Return a model made from JSON bytes; raises `InvalidValues`."""
        try:
            values = msgspec.json.decode(content)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise InvalidValues([Fault((), f"Invalid JSON: {error}")]) from None
        return cls.model_validate(values)

    @classmethod
    def faults_of(cls, values, error):
        """Return all faults of values; msgspec reports only the first one."""
        from papayabay_core.faults import find_faults

        return find_faults(cls, values) or [Fault((), str(error))]

    def model_copy(self, update):
        """Return a copy with some fields changed, without checking them."""
        changed = copy(self)
        for name, value in update.items():
            structs.force_setattr(changed, name, value)
        return changed

    def model_dump(self, exclude=()):
        """Return the fields as plain values, except those in `exclude`."""
        values = to_builtins(self)
        return {key: value for key, value in values.items() if key not in exclude}


class Strict(Model, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of models in which an unknown key is an error."""


def explain_faults(error, source):
    """Return a line for each fault of `InvalidValues`: source, key, message.

    Parameters
    ----------
    error : InvalidValues
    source : str
        Where the values are from: file name, version or kind of message.
    """
    return "\n".join(f"{source}: {fault}" for fault in error.faults)

"""Finds all faults of values that are not valid for their model.

msgspec stops at the first fault, but whoever corrects a file needs all of
them. This slower search runs only after msgspec has refused the values.
"""

import re
from itertools import chain
from typing import get_args

from msgspec import convert, inspect, structs

from papayabay_core.models import Fault


def find_faults(model, values):
    """Return all faults of plain values as a list of `Fault`.

    Parameters
    ----------
    model : type
        Subclass of `Model`.
    values : object
    """
    return list(faults_in(inspect.type_info(model), values, ()))


def faults_in(kind, value, path):
    """Return the faults of a value as an iterable of `Fault`.

    Parameters
    ----------
    kind : msgspec.inspect.Type
        The expected type.
    value : object
    path : tuple
        Keys and list indices that lead to the value.
    """
    finder = FINDERS.get(type(kind))
    return finder(kind, value, path) if finder else ()


def struct_faults(kind, value, path):
    """Yield the faults of a model's table."""
    if not isinstance(value, dict):
        yield Fault(path, "Input should be a valid dictionary")
        return
    for field in kind.fields:
        yield from field_faults(kind, field, value, path)
    if kind.forbid_unknown_fields:
        known = {field.encode_name for field in kind.fields}
        for key in value:
            if key not in known:
                yield Fault((*path, key), "Extra inputs are not permitted")


def field_faults(kind, field, values, path):
    """Yield the faults of one field of a model."""
    where = (*path, field.encode_name)
    if field.encode_name not in values:
        if field.required:
            yield Fault(where, "Field required")
        return
    value = values[field.encode_name]
    declared = declared_type(kind.cls, field.name)
    if isinstance(field.type, inspect.LiteralType):
        faults = list(literal_faults(get_args(declared), value, where))
    else:
        faults = list(faults_in(field.type, value, where))
    yield from faults
    check = kind.cls.checks.get(field.name)
    if check is None or faults or value is None:
        return
    try:
        check(convert(value, declared))
    except ValueError as error:
        yield Fault(where, f"Value error, {error}")


def list_faults(kind, value, path):
    """Yield the faults of a list and of its items."""
    if not isinstance(value, list):
        yield Fault(path, "Input should be a valid list")
        return
    if len(value) < (kind.min_length or 0):
        yield Fault(path, f"List should have at least {item_count(kind.min_length)}")
    if kind.max_length is not None and len(value) > kind.max_length:
        yield Fault(path, f"List should have at most {item_count(kind.max_length)}")
    items = enumerate(value)
    yield from chain.from_iterable(
        faults_in(kind.item_type, item, (*path, index)) for index, item in items
    )


def dict_faults(kind, value, path):
    """Yield the faults of a dictionary with arbitrary keys."""
    if not isinstance(value, dict):
        yield Fault(path, "Input should be a valid dictionary")
        return
    for key, item in value.items():
        yield from faults_in(kind.key_type, key, (*path, key))
        yield from faults_in(kind.value_type, item, (*path, key))


def union_faults(kind, value, path):
    """Return the faults of an optional value."""
    kinds = [one for one in kind.types if not isinstance(one, inspect.NoneType)]
    if value is None and len(kinds) < len(kind.types):
        return ()
    return faults_in(kinds[0], value, path)


def string_faults(kind, value, path):
    """Yield the faults of a string."""
    if not isinstance(value, str):
        yield Fault(path, "Input should be a valid string")
        return
    if len(value) < (kind.min_length or 0):
        yield Fault(path, f"String should have at least {kind.min_length} characters")
    if kind.max_length is not None and len(value) > kind.max_length:
        yield Fault(path, f"String should have at most {kind.max_length} characters")
    if kind.pattern is not None and not re.search(kind.pattern, value):
        yield Fault(path, f"String should match pattern '{kind.pattern}'")


def integer_faults(kind, value, path):
    """Return the faults of an integer."""
    if type(value) is not int:
        return [Fault(path, "Input should be a valid integer")]
    return bound_faults(kind, value, path)


def number_faults(kind, value, path):
    """Return the faults of an integer or floating-point number."""
    if type(value) not in (int, float):
        return [Fault(path, "Input should be a valid number")]
    return bound_faults(kind, value, path)


def bound_faults(kind, value, path):
    """Yield a fault for each bound that a number violates."""
    for fits, relation, bound in (
        (kind.gt is None or value > kind.gt, "greater than", kind.gt),
        (kind.ge is None or value >= kind.ge, "greater than or equal to", kind.ge),
        (kind.lt is None or value < kind.lt, "less than", kind.lt),
        (kind.le is None or value <= kind.le, "less than or equal to", kind.le),
    ):
        if not fits:
            yield Fault(path, f"Input should be {relation} {bound}")


def boolean_faults(kind, value, path):
    """Yield a fault unless the value is a boolean."""
    if not isinstance(value, bool):
        yield Fault(path, "Input should be a valid boolean")


def literal_faults(values, value, path):
    """Yield a fault unless the value is one of some literals."""
    if not any(value == one and type(value) is type(one) for one in values):
        yield Fault(path, f"Input should be one of {', '.join(map(repr, values))}")


def declared_type(model, name):
    """Return the declared type of a field of a model."""
    return next(one.type for one in structs.fields(model) if one.name == name)


def item_count(number):
    """Return a number of items as text."""
    return f"{number} item" if number == 1 else f"{number} items"


FINDERS = {
    inspect.StructType: struct_faults,
    inspect.ListType: list_faults,
    inspect.DictType: dict_faults,
    inspect.UnionType: union_faults,
    inspect.StrType: string_faults,
    inspect.IntType: integer_faults,
    inspect.FloatType: number_faults,
    inspect.BoolType: boolean_faults,
}

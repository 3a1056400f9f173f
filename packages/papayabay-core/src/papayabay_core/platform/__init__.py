"""Clients of the platform's table service and object store."""

from papayabay_core.platform.era import StoreEra
from papayabay_core.platform.object_client import HttpObjectStore
from papayabay_core.platform.protocols import ObjectStore, Put, Row, TableService
from papayabay_core.platform.table_client import HttpTableService

__all__ = [
    "HttpObjectStore",
    "HttpTableService",
    "ObjectStore",
    "Put",
    "Row",
    "StoreEra",
    "TableService",
]

"""Entries of the store that other nodes wrote, decoded into models."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import TypeVar

import orjson
from pydantic import BaseModel

from ..platform import Entry

Model = TypeVar("Model", bound=BaseModel)


def iter_stored_models(
    entries: Iterable[Entry], model: type[Model], log: logging.Logger, message: str
) -> Iterator[tuple[str, Model]]:
    """Yield the keys and values of entries, and log those that can't be decoded.

    Parameters
    ----------
    entries : iterable of Entry
        Entries of the store.
    model : type
        Model of their values.
    log : logging.Logger
        Logger of the caller.
    message : str
        Log text for an entry that can't be decoded.

    Yields
    ------
    tuple of (str, Model)
        Key and decoded value.
    """
    for entry in entries:
        try:
            row = model.model_validate(orjson.loads(entry.value))
        except Exception as exc:
            log.warning(message, extra={"key": entry.key, "fault": str(exc)[:200]})
            continue
        yield entry.key, row

"""A request to the platform's stand-in, and the reply to it."""

import dataclasses
import http

TRANSACTION_PATHS = frozenset({"/transactions", "/rows-tx"})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request; `instance` and `known_revision` are empty if not given."""

    method: str
    path: str
    query: dict[str, str]
    instance: str
    known_revision: str
    body: bytes

    @property
    def is_transaction(self) -> bool:
        """Whether the request is an atomic change of rows."""
        return self.path in TRANSACTION_PATHS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A reply; `revision` is that of the row, if there is one."""

    status: http.HTTPStatus
    body: bytes = b""
    revision: int | None = None

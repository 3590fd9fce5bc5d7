"""One call to the stand-in of the platform, and its answer."""

import dataclasses
import http

TRANSACTION_PATHS = frozenset({"/transactions", "/rows-tx"})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One call; `instance` and `known_revision` are empty where not given."""

    method: str
    path: str
    query: dict[str, str]
    instance: str
    known_revision: str
    body: bytes

    @property
    def is_transaction(self) -> bool:
        """Whether the call changes rows, all of them or none."""
        return self.path in TRANSACTION_PATHS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """An answer; `revision` is the row's, where it has one."""

    status: http.HTTPStatus
    body: bytes = b""
    revision: int | None = None

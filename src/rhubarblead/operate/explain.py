"""Extracts the history of one request from collected logs."""

from collections.abc import Iterable
import pathlib
from typing import Any

import msgspec

from rhubarblead import decoding
from rhubarblead.operate import outcome

_CONTEXT_MS = 4_000
"""Length of the context before a request's last line.

A takeover of keys takes as long.
"""

_STATE_RANGES = frozenset({30, 31, 32, 33, 34})
"""Event numbers divided by 100, for events that change a node's state."""

_OMITTED_FIELDS = frozenset({"wall_ms", "instance", "number", "event"})


def explain(request_id: str, files: Iterable[str]) -> outcome.Outcome:
    """Merges the log lines of one request with the state changes around it.

    Args:
        request_id: The id of the request.
        files: Paths of collected logs. Lines without a JSON object are
            skipped, and so is any text before the object in a line.

    Returns:
        The lines in order of wall time; those of the request are marked with
        `>`.
    """
    records: list[dict[str, Any]] = []
    diagnostics: list[str] = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text(
                encoding="utf-8", errors="replace"
            )
        except OSError as error:
            return outcome.reject_input(f"{name}: {error.strerror}")
        found, skipped_count = _read_records(text)
        records.extend(found)
        if skipped_count:
            diagnostics.append(
                f"{name}: skipped {skipped_count} lines without a record"
            )
    matching = [r for r in records if r.get("request_id") == request_id]
    if not matching:
        return outcome.reject_input(
            f"no log line has request_id {request_id!r}"
        )
    selected = matching + _list_context(records, matching)
    selected.sort(key=_get_time)
    first_ms = _get_time(selected[0])
    return outcome.Outcome(
        text="\n".join(
            _format_record(r, first_ms, request_id) for r in selected
        ),
        diagnostics=tuple(diagnostics),
    )


def _read_records(text: str) -> tuple[list[dict[str, Any]], int]:
    records = []
    skipped_count = 0
    for line in text.splitlines():
        begin = line.find("{")
        try:
            record = decoding.decode_json(line[begin:], dict[str, Any])
        except msgspec.DecodeError:
            skipped_count += 1
            continue
        if isinstance(record, dict) and "wall_ms" in record:
            records.append(record)
        else:
            skipped_count += 1
    return records, skipped_count


def _list_context(
    records: list[dict[str, Any]], matching: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Lists state changes at the request's nodes before its last line."""
    instances = {record["instance"] for record in matching}
    instances |= {
        str(record.get("node_id", "")).partition("@")[0] for record in matching
    }
    last_ms = max(map(_get_time, matching))
    return [
        record
        for record in records
        if record["instance"] in instances
        and record.get("number", 0) // 100 in _STATE_RANGES
        and last_ms - _CONTEXT_MS <= _get_time(record) <= last_ms
    ]


def _get_time(record: dict[str, Any]) -> int:
    return int(record["wall_ms"])


def _format_record(
    record: dict[str, Any], first_ms: int, request_id: str
) -> str:
    marker = ">" if record.get("request_id") == request_id else " "
    fields = " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _OMITTED_FIELDS
    )
    return (
        f"{marker} {_get_time(record) - first_ms:6d} ms {record['instance']}"
        f" {record['event']} {fields}"
    )

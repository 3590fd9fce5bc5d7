"""Rates that servers state in their responses."""

import re

_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}", re.ASCII)


def parse_rate(text: str) -> float | None:
    """Parses a rate per second.

    Args:
        text: The value of a header field.

    Returns:
        The rate; None if it is no finite decimal number of 0 or more.
    """
    stripped = text.strip()
    return float(stripped) if _DECIMAL.fullmatch(stripped) else None

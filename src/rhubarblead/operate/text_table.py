"""Plain-text tables."""

from collections.abc import Sequence

_COLUMN_SEPARATOR = "  "


def format_table(
    headers: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Formats rows as aligned columns.

    Args:
        headers: The column headers.
        rows: The cells, one sequence per row.

    Returns:
        The lines, without a trailing line break.
    """
    lines = [list(headers), *([str(cell) for cell in row] for row in rows)]
    columns = zip(*lines, strict=True)
    widths = [max(len(cell) for cell in column) for column in columns]
    return "\n".join(
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

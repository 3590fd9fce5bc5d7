"""Tables of text for people."""

from collections.abc import Sequence

_COLUMN_SEPARATOR = "  "


def format_table(
    headers: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Lays rows out in columns.

    Args:
        headers: The heads of the columns.
        rows: The cells, one sequence a row.

    Returns:
        Lines of text without a line break at the end.
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

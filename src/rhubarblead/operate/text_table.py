"""Tables of text for people."""

from collections.abc import Sequence

_GAP = "  "


def format_table(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Lays rows out in columns.

    Args:
        heads: The heads of the columns.
        rows: The cells, one sequence a row.

    Returns:
        Lines of text without a line break at the end.
    """
    lines = [list(heads), *([str(cell) for cell in row] for row in rows)]
    columns = zip(*lines, strict=True)
    widths = [max(len(cell) for cell in column) for column in columns]
    return "\n".join(
        _GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

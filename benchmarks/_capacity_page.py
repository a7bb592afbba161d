"""Writes the tables of `docs/CAPACITY.md` from the committed benchmark results (JSON files).

Run as `python -m benchmarks._capacity_page` once a result has changed.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from benchmarks._capacity_rows import TABLES, Row
from benchmarks._capacity_sources import Figure, load_results

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
COLUMNS = (
    "what",
    "unit",
    "fixed + slope × size",
    "points",
    "at the target (95 %)",
    "beyond measured",
    "budget",
    "verdict",
    "carried by",
    "source",
)
RANKED = 12  # number of rows of the target in the ranking by share of the budget
WITHIN, OVER, UNKNOWN, FREE = "within", "over", "not measured", "no budget"


def verdict(figure: Figure | None, budget: float | None) -> str:
    """Returns WITHIN or OVER: whether the upper end of the figure's interval is at most the budget.

    Without a figure it returns UNKNOWN, without a budget FREE.
    """
    if figure is None:
        return UNKNOWN
    if budget is None:
        return FREE
    return WITHIN if figure.high <= budget else OVER


def share(figure: Figure | None, budget: float | None) -> float | None:
    """Returns the upper end of the figure's interval divided by the budget; None without one of them.

    The share of a budget of zero is infinite, or zero if the figure is zero too.
    """
    if figure is None or budget is None:
        return None
    if budget:
        return figure.high / budget
    return math.inf if figure.high > 0 else 0.0


def cells(row: Row, results: Mapping[str, Any]) -> list[str]:
    """Returns the texts of the table cells of a row, in the order of COLUMNS."""
    figure = row.figure(results)
    part, verdict_text = share(figure, row.budget), verdict(figure, row.budget)
    return [
        row.what,
        row.unit,
        _form(row, figure),
        str(figure.points) if figure is not None and figure.points else "",
        UNKNOWN if figure is None else _interval(figure),
        "" if figure is None or not figure.beyond else f"{figure.beyond:.3g}",
        "" if row.budget is None else number(row.budget),
        verdict_text if part is None or not row.budget else f"{verdict_text}, {part:.3g} of it",
        row.mechanism,
        "; ".join(f"`{name}`" for name in row.source.names()),
    ]


def _form(row: Row, figure: Figure | None) -> str:
    if figure is None or not figure.form:
        return ""
    return figure.form if row.times == 1.0 else f"({figure.form}) × {row.times:.4g}"


def _interval(figure: Figure) -> str:
    if figure.low == figure.high:
        return number(figure.value)
    return f"{number(figure.value)} ({number(figure.low)} to {number(figure.high)})"


def number(value: float) -> str:
    """Formats a number for the page: three significant digits, from 1,000 on a whole number."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def render_table(rows: tuple[Row, ...], results: Mapping[str, Any]) -> str:
    """Renders rows of the page as a Markdown table with the header COLUMNS."""
    lines = ["| " + " | ".join(COLUMNS) + " |", "|" + " --- |" * len(COLUMNS)]
    lines += ["| " + " | ".join(cells(row, results)) + " |" for row in rows]
    return "\n".join(lines)


def ranking(results: Mapping[str, Any]) -> str:
    """Renders a table of the rows that use the largest shares of their budgets.

    First come RANKED rows of the target, then the worst cases that do not occur in it (`Row.bound`).
    """
    entries = [
        (row.bound, -part, name, row, figure)
        for name, rows in TABLES.items()
        for row in rows
        if (figure := row.figure(results)) is not None and (part := share(figure, row.budget)) is not None
    ]
    entries.sort(key=lambda entry: entry[:3])
    lines = ["| table: row | part of its budget | verdict | next mechanism |", "| --- | --- | --- | --- |"]
    shown = [entry for entry in entries if not entry[0]][:RANKED] + [entry for entry in entries if entry[0]]
    for bound, part, name, row, figure in shown:
        verdict_text = verdict(figure, row.budget) + (" (a bound, not the target)" if bound else "")
        lines.append(
            f"| {name}: {row.what} | {_part(-part)} | {verdict_text} | {row.following or 'none needed'} |"
        )
    return "\n".join(lines)


def _part(part: float) -> str:
    return "none is allowed" if math.isinf(part) else f"{part:.3g}"


def missing(results: Mapping[str, Any]) -> str:
    """Renders the list of the page's rows that no committed result has a figure for."""
    entries = [
        f"- {name}: {row.what}"
        for name, rows in TABLES.items()
        for row in rows
        if row.figure(results) is None
    ]
    return "\n".join(entries) or "- nothing"


def sections(results: Mapping[str, Any]) -> dict[str, str]:
    """Renders every generated section of the page; returns the Markdown texts by section name."""
    rendered = {name: render_table(rows, results) for name, rows in TABLES.items()}
    return rendered | {"ranking": ranking(results), "missing": missing(results)}


def written(page: str, results: Mapping[str, Any]) -> str:
    """Returns the page with all generated sections replaced; raises KeyError for an unknown section."""
    rendered = sections(results)

    def replaced(match: re.Match[str]) -> str:
        return f"{match[1]}\n\n{rendered[match[2]]}\n\n{match[3]}"

    return re.sub(r"(<!-- table (\S+) -->).*?(<!-- end -->)", replaced, page, flags=re.S)


def main() -> None:
    """Rewrites the generated sections of `docs/CAPACITY.md` from the committed results."""
    PAGE.write_text(written(PAGE.read_text("utf-8"), load_results()), "utf-8")


if __name__ == "__main__":
    main()

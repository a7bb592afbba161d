"""Tests that the capacity page agrees with the committed results and has no figure without a source."""

import copy
import json
import re

import pytest

from benchmarks import capacity
from benchmarks._capacity_page import COLUMNS, PAGE, UNKNOWN, cells, verdict, written
from benchmarks._capacity_rows import TABLES, Row
from benchmarks._capacity_sources import (
    RESULTS,
    Axis,
    Figure,
    MissingKey,
    NotMeasured,
    Quotient,
    Sum,
    Value,
    WorkedOut,
    load_results,
)

SHOWN = 0.006  # relative error of a figure shown with three digits
TABLE = re.compile(r"<!-- table (\S+) -->(.*?)<!-- end -->", re.S)
NAMED = re.compile(r"`(\S+\.json): ([^`]+)`")


def page_rows():
    """Yields each row of the page as its table's name and its cells by column."""
    for name, text in TABLE.findall(PAGE.read_text()):
        if name not in TABLES:
            continue
        lines = [line for line in text.strip().splitlines() if line.startswith("|")]
        head, body = lines[0], lines[2:]
        assert [cell.strip() for cell in head.strip("|").split("|")] == list(COLUMNS)
        for line in body:
            found = [cell.strip() for cell in line[1:-1].split("|")]
            assert len(found) == len(COLUMNS), line
            yield name, dict(zip(COLUMNS, found, strict=True))


def result_value(file, key):
    value = json.loads((RESULTS / file).read_text())
    for part in key.split("."):
        value = value[part]
    return value


def number(text):
    return float(text.replace(",", ""))


def test_the_page_equals_what_is_generated_from_the_results():
    page = PAGE.read_text()
    assert written(page, load_results()) == page, "run python -m benchmarks._capacity_page"


def test_every_table_and_row_is_on_the_page():
    assert {name for name, _ in TABLE.findall(PAGE.read_text())} == {*TABLES, "ranking", "missing"}
    counts = {name: 0 for name in TABLES}
    for name, _ in page_rows():
        counts[name] += 1
    assert counts == {name: len(rows) for name, rows in TABLES.items()}


def test_row_names_are_unique():
    names = [row.what for rows in TABLES.values() for row in rows]
    assert len(names) == len(set(names))


def test_rows_are_complete():
    for row in (row for rows in TABLES.values() for row in rows):
        texts = (row.what, row.unit, row.mechanism, row.following)
        assert all(isinstance(text, str) for text in texts), row.what
        assert row.unit and row.mechanism and row.times > 0, row.what


def test_every_figure_cites_existing_files_and_keys():
    for _, row in page_rows():
        cited_keys = NAMED.findall(row["source"])
        if row["at the target (95 %)"] == UNKNOWN:
            continue
        assert cited_keys, row["what"]
        for file, key in cited_keys:
            result_value(file, key)  # raises KeyError for a missing key


def test_every_unchanged_figure_equals_the_value_in_its_file():
    """Reads the page and the result files without the code that wrote the page."""
    checked = 0
    for name, row in page_rows():
        cited_keys = NAMED.findall(row["source"])
        source = next(r for r in TABLES[name] if r.what == row["what"])
        if row["at the target (95 %)"] == UNKNOWN or len(cited_keys) != 1:
            continue
        value = result_value(*cited_keys[0])
        if isinstance(value, dict) and "target" not in value:  # an axis, extrapolated from its points
            continue
        value = value["target"] if isinstance(value, dict) else value
        shown = number(row["at the target (95 %)"].split(" (")[0])
        assert shown == pytest.approx(value * source.times, rel=SHOWN, abs=1e-12), row["what"]
        checked += 1
    assert checked >= 30


def test_every_verdict_follows_from_the_figure_and_the_budget():
    for _, row in page_rows():
        verdict_text, figure = row["verdict"], row["at the target (95 %)"]
        if figure == UNKNOWN:
            assert verdict_text == UNKNOWN, row["what"]
        elif not row["budget"]:
            assert verdict_text == "no budget", row["what"]
        else:
            ends = re.search(r"to ([\d,.e+-]+)\)", figure)
            high, budget = number(ends[1] if ends else figure), number(row["budget"])
            if abs(high - budget) > SHOWN * budget or high == budget:
                assert verdict_text.split(",")[0] == ("within" if high <= budget else "over"), row["what"]
            if budget:
                part = re.fullmatch(r"\w+, (\S+) of it", verdict_text)
                assert number(part[1]) == pytest.approx(high / budget, rel=0.06), row["what"]


def test_results_of_short_forms_are_not_cited():
    for file, found in load_results().items():
        assert found.get("short") in (None, False), file


def test_a_changed_result_changes_the_page():
    page, results = PAGE.read_text(), load_results()
    changed = copy.deepcopy(results)
    changed["capacity.json"]["slopes"]["router_request_us_spread"]["target"] *= 1.1
    assert written(page, changed) != page
    del changed["capacity.json"]["slopes"]["router_request_us_spread"]
    with pytest.raises(MissingKey, match="router_request_us_spread"):
        written(page, changed)


def test_a_figure_without_a_result_is_not_measured():
    row = Row("something", "s", Value("none.json", "a.b"), 1.0, "nothing")
    assert cells(row, {})[4] == UNKNOWN and cells(row, {})[7] == UNKNOWN
    assert cells(row, {"none.json": {"a": {"b": None}}})[7] == UNKNOWN
    assert NotMeasured().figure({}) is None
    with pytest.raises(MissingKey):
        cells(row, {"none.json": {"a": {}}})


def test_a_verdict_uses_the_upper_end_of_the_interval():
    assert verdict(Figure(1.0, 0.5, 2.0), 2.0) == "within"
    assert verdict(Figure(1.0, 0.5, 2.1), 2.0) == "over"
    assert verdict(Figure(0.0, 0.0, 0.0), 0.0) == "within"
    assert verdict(Figure(1.0, 1.0, 1.0), None) == "no budget"
    assert verdict(None, 1.0) == UNKNOWN


def test_sums_and_axes_are_computed_from_their_parts():
    points = [{"size": size, "cost": 1.0 + 2.0 * size} for size in (1, 4, 8, 16) for _ in range(3)]
    slope = {"fixed": 1.0, "slope": 2.0, "is_line": True, "exponent": None, "points": 12}
    scale = {"parts": {"axes": {"sizes": {"points": points, "slopes": {"cost": slope}}}}}
    results = {"scale.json": scale, "other.json": {"slopes": {}, "known": 5.0}}
    axis = Axis("sizes", "cost", 32)
    found = axis.figure(results)
    assert (found.value, found.beyond) == (pytest.approx(65.0), 2.0)
    total = Sum(((axis, 0.1), (Value("other.json", "known"), 1.0))).figure(results)
    assert total.value == pytest.approx(11.5) and total.beyond == 2.0
    assert Sum(((axis, 1.0), (NotMeasured(), 1.0))).figure(results) is None
    assert Quotient(axis, Value("other.json", "known")).figure(results).value == pytest.approx(13.0)
    assert Quotient(axis, Value("none.json", "known")).figure(results) is None
    with pytest.raises(MissingKey):
        WorkedOut("other.json", "no").figure(results)
    with pytest.raises(MissingKey):
        Axis("sizes", "no", 32).figure(results)
    scale["parts"]["axes"]["sizes"]["slopes"] = {}
    assert axis.figure(results) is None  # too few points for a slope


def test_the_short_form_has_every_key_that_the_page_cites(capsys):
    found = capacity.run(short=True, seed=1, trials=0)
    committed = load_results()["capacity.json"]
    assert set(found) == set(committed) and set(found["slopes"]) == set(committed["slopes"])
    assert set(found["arithmetic"]) == set(committed["arithmetic"])
    assert found["arithmetic"] == committed["arithmetic"]  # these figures are not measured
    assert found["descriptors"] == committed["descriptors"]
    assert set(found["shares"]) == set(committed["shares"])
    assert found["slopes"]["sketch_counted_most"]["target"] < 2 / 0.002  # bounded by the counter's error
    assert capsys.readouterr().out

"""The tools of scale runs: curves of known data, records, pages, and invalid calls, each of which
ends with one line and status 2."""

import json
import subprocess
import sys
from pathlib import Path

import numpy
import pytest

from benchmarks import capacity
from havendyke.cli.main import main
from havendyke.lab.scale import fit, page, record
from havendyke.lab.scale.size import AXES, Size, SizeError, check_machine, plan, read_size
from havendyke.lab.scale.workers import distribute_assigners

SIZES = [100.0, 200.0, 400.0, 800.0, 1600.0]


@pytest.mark.parametrize("form", fit.FORMS)
def test_the_form_of_a_curve_is_recognized_and_its_slope_lies_in_the_interval(form):
    transformed = fit.FORMS[form](numpy.array(SIZES))
    noise = (
        0.002 * (transformed.max() - transformed.min()) * numpy.array([1.0, -1.0, 0.5, -1.0, 0.5])
    )
    curve = fit.fit_curve("tasks", SIZES, 5 + 3 * transformed + noise)
    assert curve.form == form and curve.low <= 3 <= curve.high and curve.points == 5


def test_the_same_records_give_the_same_interval():
    assert fit.fit_curve("tasks", SIZES, [3, 5, 9, 18, 33]) == fit.fit_curve(
        "tasks", SIZES, [3, 5, 9, 18, 33]
    )


def test_the_pairs_decide_how_the_effects_of_two_axes_combine():
    curves = {
        axis: fit.Curve(axis, "linear", 1.0, 1000.0 - getattr(Size(), axis), 0.0, 1.0, 1.0, 5)
        for axis in ("tasks", "proxies")
    }
    size = {"tasks": 800, "proxies": 200}
    both = [fit.Model("calm/bytes", 1000.0, curves, combine) for combine in ("sum", "product")]
    assert [m.predict(size) for m in both] == pytest.approx([1500.0, 1540.0])
    assert (
        fit.best_model(both, [(size, 1545.0)]).combine == "product"
        and fit.best_model(both, [(size, 1490.0)]).combine == "sum"
    )


@pytest.mark.parametrize(
    "measured, predicted, passed", [(1000, 1240, True), (1000, 1260, False), (10, 60, True)]
)
def test_a_prediction_may_err_by_a_quarter_or_by_a_negligible_amount(measured, predicted, passed):
    assert fit.Check("held-1", "calm/bytes", measured, predicted).passed == passed


def test_the_plan_has_several_sizes_of_each_axis_and_unique_point_names():
    roles = [p.role for p in plan()]
    assert (
        all(roles.count(axis) >= 3 for axis in AXES)
        and roles.count("held") >= 3
        and roles.count("base") == 1
    )
    assert len({p.name for p in plan()}) == len(roles)
    for point in plan():
        check_machine(read_size(point.size.as_dict()), 2, 4096.0)


def test_every_assigner_is_run_by_one_worker():
    numbers_by_worker = distribute_assigners(Size(assigners=100, hollow=7), 3)
    assert sorted(k for numbers in numbers_by_worker for k in numbers) == [14 * k for k in range(7)]


@pytest.mark.parametrize(
    "axes, message",
    [
        ({"task": 5}, "no axis is named 'task'"),
        ({"tasks": 10**8}, "goes from 8 to"),
        ({"zones": 1}, "goes from 2 to"),
        ({"slices": 9999, "assigners": 4096}, "are more than 65534 tables"),
    ],
)
def test_an_invalid_size_is_rejected(axes, message):
    with pytest.raises(SizeError, match=message):
        read_size(axes)


def call_scale(capsys, *args):
    status = main(["lab", "scale", *args])
    return status, capsys.readouterr().err


@pytest.mark.parametrize(
    "args, message",
    [
        (["run", "nosuch=3"], "no axis is named 'nosuch'"),
        (["run", "tasks"], "an axis is NAME=NUMBER"),
        (["run", "tasks=-4"], "an axis is NAME=NUMBER"),
        (["run", "tasks=90000", "hollow=90"], "this size needs some"),
        (["run", "--workers", "400"], "are more than 250 processes"),
        (["run", "--seed", "x"], "not a valid integer"),
        (["run", "--name", "../x"], "a record's name"),
        (["run", "--seconds", "1"], "longer than 1 s"),
        (["run", "--memory-mb", "64", "hollow=1", "tasks=8", "proxies=1"], "MB of the 64"),
        (["run", "--into", "/nonexistent/records"], "does not exist"),
        (["measure", "--into", "/nonexistent/records"], "does not exist"),
        (["nosuch"], "No such command"),
    ],
)
def test_an_invalid_call_ends_with_one_line_and_status_2(capsys, args, message):
    status, err = call_scale(capsys, *args)
    assert status == 2 and message in err and err.count("\n") == 1


def test_a_record_is_never_overwritten(capsys, tmp_path):
    (tmp_path / "mine.json").write_text("kept")
    status, err = call_scale(capsys, "run", "--into", str(tmp_path), "--name", "mine")
    assert (
        status == 2
        and "nothing was overwritten" in err
        and (tmp_path / "mine.json").read_text() == "kept"
    )
    with pytest.raises(record.RecordError, match="nothing was overwritten"):
        record.write(tmp_path, "mine", {})


def copy_records(tmp_path, **fields):
    """Copies two of the repository's records, the second with some fields changed."""
    first, second = (record.read(path) for path in sorted(capacity.RECORDS.glob("*.json"))[:2])
    (tmp_path / "a.json").write_text(json.dumps(first))
    (tmp_path / "b.json").write_text(json.dumps(second | fields))
    return str(tmp_path)


@pytest.mark.parametrize(
    "text, message",
    [
        ('{"form":', "not JSON"),
        ("[]", "not a record"),
        ('{"form":"havendyke scale 1"}', "field 'point' is missing"),
        ('{"form":"havendyke scale 2"}', "not a record"),
    ],
)
def test_an_invalid_record_is_reported_in_one_line_and_the_pages_stay(
    tmp_path, capsys, text, message
):
    (tmp_path / "base.json").write_text(text)
    before = [path.read_text() for path in capacity.PAGES]
    for option in ("--fit", "--page"):
        assert capacity.main([option, "--records", str(tmp_path)]) == 2
        err = capsys.readouterr().err
        assert message in err and err.count("\n") == 1
    assert [path.read_text() for path in capacity.PAGES] == before


def test_records_of_different_sources_are_not_combined(tmp_path, capsys):
    folder = copy_records(tmp_path, text={"commit": "0" * 12, "sources": "0" * 16})
    assert (
        capacity.main(["--fit", "--records", folder]) == 2
        and "of another text than" in capsys.readouterr().err
    )


@pytest.mark.parametrize(
    "args", [["--fit", "--page"], ["--nosuch"], [], ["--fit", "--records", "/nonexistent"]]
)
def test_an_invalid_call_of_the_capacity_benchmark_is_reported_in_one_line(capsys, args):
    assert capacity.main(args) == 2
    out, err = capsys.readouterr()
    assert not out and err.count("\n") == 1


def test_the_pages_agree_with_the_records():
    blocks = page.Page(record.read_all(capacity.RECORDS)).tables()
    for path in capacity.PAGES:
        assert page.replace_tables(path.read_text(), blocks) == path.read_text(), (
            f"python -m benchmarks capacity --page writes {path.name}"
        )
    marked = {
        found["name"]
        for path in capacity.PAGES
        for found in page.TABLE_MARKER.finditer(path.read_text())
    }
    assert marked == set(blocks)


def test_no_record_identifies_a_machine_or_a_path():
    for path in capacity.RECORDS.glob("*.json"):
        assert "/home" not in path.read_text() and set(record.read(path)["machine"]) == {
            "cores",
            "memory_gb",
            "python",
        }


def test_a_page_without_its_markers_is_rejected():
    with pytest.raises(page.PageError):
        page.replace_tables("# Capacity\n", {})
    with pytest.raises(page.PageError, match="nosuch"):
        page.replace_tables("<!-- begin nosuch -->\n<!-- end nosuch -->", {})


def test_other_benchmarks_take_no_options():
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks", "recovery", "--fit"],
        cwd=Path(capacity.__file__).parents[1],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2 and "takes no options" in completed.stderr

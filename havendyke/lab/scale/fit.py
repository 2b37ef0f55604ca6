"""Curves fitted to the records: how each metric of an assigner grows along each axis, and what that
predicts at other sizes.

A metric is named `phase/kind` (`calm/bytes`, `calm/list/in_bytes`, `release/cpu/judge`, `memory`).
Along one axis, with the others fixed, several forms are compared: linear, n log n, square, and
inverse (for a cost shared by many assigners). At other sizes the effects of the axes are combined
as a sum or as a product, whichever predicts the `pair` records better. The `held` records are only
used to test the predictions. A total is predicted as the sum of its parts."""

from dataclasses import dataclass

import numpy

from ...policy.health_checks import CHECKS_PER_SERVER_PER_S
from .meter import IN, KINDS, OUT
from .record import RecordError
from .scenario import RACK_TASKS
from .size import AXES, Size

FORMS = {
    "linear": lambda x: x,
    "n log n": lambda x: x * numpy.log2(numpy.maximum(x, 2.0)),
    "square": lambda x: x * x,
    "inverse": lambda x: 1.0 / numpy.maximum(x, 0.1),
}
MIN_POINTS = 4  # sizes on an axis; no curve is fitted to fewer
REFERENCE_LOOP_MS = 0.51  # of the fastest record; processor times are scaled to this speed
RESAMPLES, RESAMPLING_SEED = 400, 20261202
INTERVAL_PERCENTILES = (2.5, 97.5)  # of the resampled slopes
ENTRIES_PER_TABLE = 2  # a primary and a standby
FLAT_SHARE = 0.02  # of the base value; an axis with a smaller effect on a metric is ignored
TOLERANCE = 0.25  # of a held-out value, for the error of its prediction
NEGLIGIBLE = {
    "bytes": 130.0,
    "cpu": 0.4,
    "memory": 1.28,
    "messages": 1.0,
}  # 1 % of an assigner's budget; smaller errors of a prediction are ignored

# Derived axes: quantities that drive a cost but are no field of `Size`. They are computed from its
# axes by the rules of the program, and a curve along one replaces those along these axes.
# Health checks per second: CHECKS_PER_SERVER_PER_S is shared among the assigners that send them.
HEALTH_CHECK_RATE = "questions a second"
RACK_TASKS_IN_TABLES = "own tasks released"  # of a rack, that are in one assigner's tables
REPLACED_TASKS_IN_TABLES = "own tasks replaced"  # per second in a calm phase
DERIVED_AXES = {
    HEALTH_CHECK_RATE: ("tasks", "assigners", "slices"),
    RACK_TASKS_IN_TABLES: ("tasks", "slices"),
    REPLACED_TASKS_IN_TABLES: ("tasks", "slices", "changes"),
}
PUSH_KINDS = ("news", "calls", "orders")


def axis_position(size: dict, axis: str) -> float:
    """The value of a size on an axis."""
    if axis not in DERIVED_AXES:
        return size[axis]
    # Table entries of one assigner per task.
    entries_per_task = ENTRIES_PER_TABLE * size["slices"] / size["tasks"]
    if axis == HEALTH_CHECK_RATE:
        share = CHECKS_PER_SERVER_PER_S * size["tasks"] / size["assigners"]
        return share + min(2 * ENTRIES_PER_TABLE * size["slices"], share)
    return entries_per_task * (
        min(RACK_TASKS, size["tasks"] // 5)
        if axis == RACK_TASKS_IN_TABLES
        else size["changes"] / 60.0
    )


def metric_axes(metric: str) -> dict:
    """The axes of a metric, each with the roles of the records on it."""
    phase, _, rest = metric.partition("/")
    kind = rest.partition("/")[0]
    derived = HEALTH_CHECK_RATE if kind == "probes" else None
    if kind in PUSH_KINDS:
        derived = {
            "release": RACK_TASKS_IN_TABLES,
            "calm": REPLACED_TASKS_IN_TABLES,
            "peak": REPLACED_TASKS_IN_TABLES,
        }.get(phase)
    stands_for = DERIVED_AXES.get(derived, ())
    roles_by_axis = {axis: (axis,) for axis in AXES if axis not in stands_for}
    return roles_by_axis | ({derived: stands_for} if derived else {})


@dataclass(frozen=True)
class Curve:
    """One metric along one axis: `intercept + slope * form(x)`."""

    axis: str
    form: str
    slope: float
    intercept: float
    residual: float  # root mean square, in the unit of the metric
    low: float  # bound of the slope's interval, by resampling
    high: float
    points: int

    def value_at(self, x: float) -> float:
        return self.intercept + self.slope * float(FORMS[self.form](numpy.float64(x)))


@dataclass(frozen=True)
class Total:
    """A metric that is the sum of others."""

    metric: str
    parts: tuple
    curves: dict
    combine: str = "sum of parts"

    def predict(self, size: dict) -> float:
        return sum(part.predict(size) for part in self.parts)


@dataclass(frozen=True)
class Model:
    """A metric over all axes; `combine` says how the effects of several axes are combined."""

    metric: str
    base: float
    curves: dict
    combine: str  # "sum" or "product"

    def predict(self, size: dict) -> float:
        """The metric at a size, {axis: value}; missing axes have the base values."""
        origin = Size().as_dict()
        pairs = [
            (
                curve.value_at(axis_position(origin, axis)),
                curve.value_at(axis_position({**origin, **size}, axis)),
            )
            for axis, curve in self.curves.items()
        ]
        # The base was measured once; the mean of the curves there is a better estimate of it.
        level = sum(at_base for at_base, _ in pairs) / len(pairs) if pairs else self.base
        if self.combine == "sum":
            return max(0.0, level + sum(at_size - at_base for at_base, at_size in pairs))
        for at_base, at_size in pairs:
            level *= max(0.0, at_size) / at_base if at_base > 0 else 1.0
        return max(0.0, level)


def record_metrics(record: dict) -> dict:
    """The values of one record by metric."""
    values = {"memory": record["memory_mb"]["assigner"]}
    for name, phase in record["phases"].items():
        for unit in ("bytes", "messages"):
            by_kind = {
                kind: sum(phase["traffic"][kind][f"{direction}_{unit}"] for direction in (IN, OUT))
                for kind in KINDS
            }
            values |= {f"{name}/{kind}/{unit}": value for kind, value in by_kind.items()}
            values[f"{name}/{unit}"] = sum(by_kind.values())
        # The reference loop shows how much slower the machine was than in the fastest record.
        # Processor times are scaled to that record.
        slowdown = phase["yardstick_ms"] / REFERENCE_LOOP_MS
        values |= {
            f"{name}/cpu/{activity}": spent / slowdown
            for activity, spent in phase["cpu_ms"].items()
        }
        values[f"{name}/cpu"] = sum(phase["cpu_ms"].values()) / slowdown
        values |= {
            f"{name}/{key}": phase[key] for key in ("orders", "log_bytes", "log_lines", "turns")
        }
        values[f"{name}/calls/sent"] = phase["traffic"]["calls"]["out_messages"]
    return values


def least_squares(x, y) -> tuple:
    """Slope, intercept and root mean square residual of the least-squares line."""
    spread = x - x.mean()
    slope = float((spread * (y - y.mean())).sum() / (spread * spread).sum())
    intercept = float(y.mean() - slope * x.mean())
    return slope, intercept, float(numpy.sqrt(((y - intercept - slope * x) ** 2).mean()))


def fit_curve(axis: str, xs, ys) -> Curve:
    """The best curve of all forms; the interval of its slope comes from resampled residuals."""
    x, y = numpy.array(xs, float), numpy.array(ys, float)
    forms = FORMS if axis not in DERIVED_AXES else {"linear"}
    form = min(forms, key=lambda f: cross_validation_error(FORMS[f](x), y))
    transformed = FORMS[form](x)
    slope, intercept, residual = least_squares(transformed, y)
    predicted, spread = intercept + slope * transformed, transformed - transformed.mean()
    errors = (y - predicted) * numpy.sqrt(len(x) / max(1, len(x) - 2))
    resampled = predicted + numpy.random.default_rng(RESAMPLING_SEED).choice(
        errors, (RESAMPLES, len(x))
    )
    slopes = (spread * resampled).sum(axis=1) / (spread * spread).sum()
    low, high = numpy.percentile(slopes, INTERVAL_PERCENTILES)
    return Curve(axis, form, slope, intercept, residual, float(low), float(high), len(x))


def cross_validation_error(x, y) -> float:
    """The mean square error of leave-one-out cross-validation."""
    total = 0.0
    for k in range(len(x)):
        others = numpy.arange(len(x)) != k
        slope, intercept, _ = least_squares(x[others], y[others])
        total += (y[k] - intercept - slope * x[k]) ** 2
    return total / len(x)


def is_flat(curve: Curve, xs, base: float) -> bool:
    """Whether the axis has no detectable effect on the metric."""
    change = abs(curve.value_at(max(xs)) - curve.value_at(min(xs)))
    return change <= FLAT_SHARE * abs(base) or curve.low <= 0.0 <= curve.high


def fit_curves(metric: str, measurements: list) -> dict:
    """The curve of each axis that affects the metric; `measurements` has (record, its metrics)."""
    base = next(values[metric] for record, values in measurements if record["role"] == "base")
    curves = {}
    for axis, roles in metric_axes(metric).items():
        points = [
            (axis_position(record["size"], axis), values.get(metric, 0.0))
            for record, values in measurements
            if record["role"] in ("base", *roles)
        ]
        if len(points) < MIN_POINTS:
            continue
        xs, ys = zip(*sorted(points))
        curve = fit_curve(axis, xs, ys)
        if not is_flat(curve, xs, base):
            curves[axis] = curve
    return curves


def fit_models(records: list) -> dict:
    """A model for each metric of the base record; a total is the sum of its parts."""
    measurements = [(record, record_metrics(record)) for record in records]
    base = next((values for record, values in measurements if record["role"] == "base"), None)
    if base is None:
        raise RecordError("no record of the base among these")
    models_by_metric = {}
    for metric, value in base.items():
        curves = fit_curves(metric, measurements)
        models_by_metric[metric] = best_model(
            [Model(metric, value, curves, combine) for combine in ("sum", "product")],
            [(r["size"], v.get(metric, 0.0)) for r, v in measurements if r["role"] == "pair"],
        )
    for metric in base:
        phase, _, unit = metric.partition("/")
        if unit in ("bytes", "messages"):
            parts = [f"{phase}/{kind}/{unit}" for kind in KINDS]
        elif unit == "cpu":
            parts = [other for other in base if other.startswith(f"{phase}/cpu/")]
        else:
            continue
        models_by_metric[metric] = Total(
            metric, tuple(models_by_metric[part] for part in parts), models_by_metric[metric].curves
        )
    return models_by_metric


def best_model(candidates: list, pairs: list) -> Model:
    """The model with the smallest sum of relative errors; `pairs` has (size, measured value)."""
    return min(
        candidates,
        key=lambda m: sum(abs(m.predict(size) - value) / max(value, 1e-9) for size, value in pairs),
    )


def negligible_error(metric: str) -> float:
    """The error of a prediction that is ignored, in the unit of the metric."""
    unit = next((u for u in NEGLIGIBLE if u in metric.split("/")), "messages")
    return NEGLIGIBLE[unit]


@dataclass(frozen=True)
class Check:
    """A held-out value and its prediction."""

    point: str
    metric: str
    measured: float
    predicted: float

    @property
    def relative_error(self) -> float:
        return (self.predicted - self.measured) / self.measured if self.measured else 0.0

    @property
    def passed(self) -> bool:
        return abs(self.predicted - self.measured) <= max(
            TOLERANCE * abs(self.measured), negligible_error(self.metric)
        )


def check_predictions(records: list, fitted_models: dict, wanted_metrics) -> list:
    """Checks each of the metrics at each held-out point."""
    return [
        Check(
            r["point"],
            metric,
            record_metrics(r).get(metric, 0.0),
            fitted_models[metric].predict(r["size"]),
        )
        for r in records
        if r["role"] == "held"
        for metric in wanted_metrics
    ]

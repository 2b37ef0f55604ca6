"""Slopes from records: how each figure of an assigner grows along each axis, and what that predicts
elsewhere.

A metric is named `phase/kind` (`calm/bytes`, `calm/list/in_bytes`, `release/cpu/judge`, `memory`).
Along one axis, the others fixed, forms are compared: linear, n log n, square, and inverse (what
many share). At another size the axes' effects are put together as a sum or as a product, whichever
says the `pair` records better; the `held` records are used for nothing but the test. A total is the
sum of its parts' predictions."""

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
MIN_POINTS = 4  # sizes of an axis, below which no curve is drawn
REFERENCE_LOOP_MS = (
    0.51  # of the plain loop in the quickest record; processor times are scaled to it
)
RESAMPLES, RESAMPLING_SEED = 400, 20261202
INTERVAL_PERCENTILES = (2.5, 97.5)  # percentiles of the resampled slopes
ENTRIES_PER_TABLE = 2  # an owner and a spare
FLAT_SHARE = 0.02  # of the base's value: an axis that moves a metric by less does nothing to it
TOLERANCE = 0.25  # of a held-out value, that a prediction may miss it by
NEGLIGIBLE = {
    "bytes": 130.0,
    "cpu": 0.4,
    "memory": 1.28,
    "messages": 1.0,
}  # 1 % of an assigner's budget: misses below are none


# What a mechanism turns on where that is no axis by itself, worked out from the rules; a curve
# along it stands for its axes'.
HEALTH_CHECK_RATE = "questions a second"  # probes, by the rule that shares CHECKS_PER_SERVER_PER_S
# among those who ask
RACK_TASKS_IN_TABLES = "own tasks released"  # of a rack, that lines of one assigner name
REPLACED_TASKS_IN_TABLES = "own tasks replaced"  # a second, the same in a calm span
DERIVED_AXES = {
    HEALTH_CHECK_RATE: ("tasks", "assigners", "slices"),
    RACK_TASKS_IN_TABLES: ("tasks", "slices"),
    REPLACED_TASKS_IN_TABLES: ("tasks", "slices", "changes"),
}
PUSH_KINDS = ("news", "calls", "orders")


def axis_position(size: dict, axis: str) -> float:
    """Where a size lies on an axis."""
    if axis not in DERIVED_AXES:
        return size[axis]
    named = (
        ENTRIES_PER_TABLE * size["slices"] / size["tasks"]
    )  # lines of one assigner for each task
    if axis == HEALTH_CHECK_RATE:
        each = CHECKS_PER_SERVER_PER_S * size["tasks"] / size["assigners"]
        return each + min(2 * ENTRIES_PER_TABLE * size["slices"], each)
    return named * (
        min(RACK_TASKS, size["tasks"] // 5)
        if axis == RACK_TASKS_IN_TABLES
        else size["changes"] / 60.0
    )


def metric_axes(metric: str) -> dict:
    """The axes of a metric, each with the records' roles that lie on it."""
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
    residual: float  # root of the mean square, in the metric's unit
    low: float  # of the slope, by resampling
    high: float
    points: int

    def value_at(self, x: float) -> float:
        return self.intercept + self.slope * float(FORMS[self.form](numpy.float64(x)))


@dataclass(frozen=True)
class Total:
    """The sum of other metrics."""

    metric: str
    parts: tuple
    curves: dict
    combine: str = "sum of parts"

    def predict(self, size: dict) -> float:
        return sum(part.predict(size) for part in self.parts)


@dataclass(frozen=True)
class Model:
    """One metric over all axes; `combine` says how effects of several axes go together."""

    metric: str
    base: float
    curves: dict
    combine: str  # "sum" or "product"

    def predict(self, size: dict) -> float:
        """The metric at a size: {axis: value}; axes left out are the base's."""
        origin = Size().as_dict()
        pairs = [
            (
                curve.value_at(axis_position(origin, axis)),
                curve.value_at(axis_position({**origin, **size}, axis)),
            )
            for axis, curve in self.curves.items()
        ]
        # The base was measured once; where curves go through it, they know it better together.
        level = sum(here for here, _ in pairs) / len(pairs) if pairs else self.base
        if self.combine == "sum":
            return max(0.0, level + sum(there - here for here, there in pairs))
        for here, there in pairs:
            level *= max(0.0, there) / here if here > 0 else 1.0
        return max(0.0, level)


def record_metrics(record: dict) -> dict:
    """All figures of one record by metric."""
    values = {"memory": record["memory_mb"]["assigner"]}
    for name, phase in record["phases"].items():
        for unit in ("bytes", "messages"):
            by_kind = {
                kind: sum(phase["traffic"][kind][f"{way}_{unit}"] for way in (IN, OUT))
                for kind in KINDS
            }
            values |= {f"{name}/{kind}/{unit}": value for kind, value in by_kind.items()}
            values[f"{name}/{unit}"] = sum(by_kind.values())
        # As if the machine had been as quick as at its quickest: the loop beside the run says how
        # slow it was.
        slowed = phase["yardstick_ms"] / REFERENCE_LOOP_MS
        values |= {
            f"{name}/cpu/{activity}": spent / slowed for activity, spent in phase["cpu_ms"].items()
        }
        values[f"{name}/cpu"] = sum(phase["cpu_ms"].values()) / slowed
        values |= {
            f"{name}/{key}": phase[key] for key in ("orders", "log_bytes", "log_lines", "turns")
        }
        values[f"{name}/calls/sent"] = phase["traffic"]["calls"]["out_messages"]
    return values


def least_squares(x, y) -> tuple:
    """Least squares: slope, intercept, root of the mean square residual."""
    spread = x - x.mean()
    slope = float((spread * (y - y.mean())).sum() / (spread * spread).sum())
    intercept = float(y.mean() - slope * x.mean())
    return slope, intercept, float(numpy.sqrt(((y - intercept - slope * x) ** 2).mean()))


def fit_curve(axis: str, xs, ys) -> Curve:
    """The best of the forms, its slope's interval by resampling the residuals."""
    x, y = numpy.array(xs, float), numpy.array(ys, float)
    forms = FORMS if axis not in DERIVED_AXES else {"linear"}
    form = min(forms, key=lambda f: cross_validation_error(FORMS[f](x), y))
    transformed = FORMS[form](x)
    slope, intercept, residual = least_squares(transformed, y)
    predicted, spread = intercept + slope * transformed, transformed - transformed.mean()
    errors = (y - predicted) * numpy.sqrt(len(x) / max(1, len(x) - 2))
    drawn = predicted + numpy.random.default_rng(RESAMPLING_SEED).choice(
        errors, (RESAMPLES, len(x))
    )
    slopes = (spread * drawn).sum(axis=1) / (spread * spread).sum()
    low, high = numpy.percentile(slopes, INTERVAL_PERCENTILES)
    return Curve(axis, form, slope, intercept, residual, float(low), float(high), len(x))


def cross_validation_error(x, y) -> float:
    """The mean square error at points that the fit did not see, one after the other."""
    total = 0.0
    for k in range(len(x)):
        kept = numpy.arange(len(x)) != k
        slope, intercept, _ = least_squares(x[kept], y[kept])
        total += (y[k] - intercept - slope * x[k]) ** 2
    return total / len(x)


def is_flat(curve: Curve, xs, base: float) -> bool:
    """Whether the axis does nothing to the metric, as far as can be told."""
    moved = abs(curve.value_at(max(xs)) - curve.value_at(min(xs)))
    return moved <= FLAT_SHARE * abs(base) or curve.low <= 0.0 <= curve.high


def fit_curves(metric: str, told: list) -> dict:
    """The curve of each axis that moves the metric; `told` has (record, its metrics)."""
    base, curves = next(values[metric] for record, values in told if record["role"] == "base"), {}
    for axis, on_it in metric_axes(metric).items():
        points = [
            (axis_position(record["size"], axis), values.get(metric, 0.0))
            for record, values in told
            if record["role"] in ("base", *on_it)
        ]
        if len(points) < MIN_POINTS:
            continue
        xs, ys = zip(*sorted(points))
        curve = fit_curve(axis, xs, ys)
        if not is_flat(curve, xs, base):
            curves[axis] = curve
    return curves


def fit_models(records: list) -> dict:
    """A model for each metric that the base's record has; a total's is the sum of its parts'."""
    told = [(record, record_metrics(record)) for record in records]
    base = next((values for record, values in told if record["role"] == "base"), None)
    if base is None:
        raise RecordError("no record of the base among these")
    models_by_metric = {}
    for metric, value in base.items():
        curves = fit_curves(metric, told)
        models_by_metric[metric] = best_model(
            [Model(metric, value, curves, how) for how in ("sum", "product")],
            [(r["size"], v.get(metric, 0.0)) for r, v in told if r["role"] == "pair"],
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
    return min(
        candidates,
        key=lambda m: sum(abs(m.predict(size) - value) / max(value, 1e-9) for size, value in pairs),
    )


def negligible_error(metric: str) -> float:
    unit = next((u for u in NEGLIGIBLE if u in metric.split("/")), "messages")
    return NEGLIGIBLE[unit]


@dataclass(frozen=True)
class Check:
    """One held-out figure beside its prediction."""

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


def check_predictions(records: list, fitted_models: dict, wanted) -> list:
    """Each wanted metric at each held-out point."""
    return [
        Check(
            r["point"],
            metric,
            record_metrics(r).get(metric, 0.0),
            fitted_models[metric].predict(r["size"]),
        )
        for r in records
        if r["role"] == "held"
        for metric in wanted
    ]

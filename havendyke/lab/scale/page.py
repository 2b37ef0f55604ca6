"""Generates the tables of docs/CAPACITY.md and docs/design/capacity.md from the records and writes
them between the pages' markers."""

import math
import re
from pathlib import Path

from . import fit, record, roles
from .meter import KINDS

TABLE_MARKER = re.compile(r"<!-- begin (?P<name>[a-z-]+) -->\n.*?<!-- end (?P=name) -->", re.DOTALL)
ACTIVITIES = ("judge", "plan", "emit", "ask", "turn", "parse", "send", "timers")
MECHANISMS = {
    "list": (
        "the whole list each 3 s (`net/discovery.py`)",
        "in force; a look at changes alone is missing",
    ),
    "watch": ("changes since a version, two watches", "in force"),
    "reports": (
        "a line a slice and class, one a zone and task, each second",
        "in force; sampling or sums are missing",
    ),
    "probes": ("5 a second at one task from all assigners together", "in force"),
    "news": (
        "the relay's news on two connections; answers of every proxy to every mark",
        "in force; summed answers are missing",
    ),
    "calls": ("changed lines only, one push a second", "in force"),
}
ROLE_MECHANISMS = {
    "proxy": "changed lines only, each push once",
    "relay and store": "one call a push; news to each assigner twice",
    "discovery": "changes since a version to each agent",
    "discovery's agent": "whole lists and watches on the assigner's machine",
    "collector": "each line to each assigner that holds the slice or names the task",
    "task": "5 probes a second from all together",
    "control machine": "relay, store and discovery in even parts on six",
    "operator's tools": "the log, with limits a second",
}
CHECKED_METRICS = (
    "bytes",
    "list/bytes",
    "reports/bytes",
    "probes/bytes",
    "news/bytes",
    "messages",
    "cpu",
)
SLOPE_METRICS = (
    "calm/list/bytes",
    "calm/reports/bytes",
    "calm/probes/bytes",
    "calm/bytes",
    "calm/messages",
    "calm/cpu",
    "calm/cpu/judge",
    "calm/cpu/plan",
    "release/watch/bytes",
    "release/news/bytes",
    "release/bytes",
    "release/cpu",
    "zone/news/bytes",
    "zone/bytes",
    "zone/cpu",
    "start/bytes",
    "start/cpu",
    "memory",
)


class PageError(ValueError):
    """A page with missing or unknown markers; the message is one line."""


def markdown_table(header: list, rows: list) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in line) + " |" for line in lines)


def format_figure(value: float) -> str:
    """Three significant digits, with commas between thousands."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def format_share(value: float, budget: float) -> str:
    ratio = value / budget
    return f"{100 * ratio:.0f} %" if ratio < 10 else f"{ratio:.0f} times"


class Page:
    """Makes the text of every table; `tables` has them by the name of their marker."""

    def __init__(self, records: list):
        self.records, self.models = records, fit.fit_models(records)
        self.capacity, self.size = roles.Capacity(self.models, records), roles.target_size()

    def tables(self) -> dict:
        return {
            "text": self.provenance(),
            "assumptions": self.assumptions(),
            "assigner": self.assigner(),
            "kinds": self.traffic_kinds(),
            "activities": self.activities(),
            "roles": self.other_roles(),
            "fleets": self.fleets(),
            "beside": self.real_assigners(),
            "slopes": self.slopes(),
            "held-out": self.held_out_errors(),
            "ranges": self.assumption_ranges(),
            "factors": self.extrapolation_factors(),
            "ranking": self.ranking(),
        }

    def provenance(self) -> str:
        first = self.records[0]
        machine = first["machine"]
        commits = sorted({r["text"]["commit"] for r in self.records})
        return (
            f"{len(self.records)} records, text {', '.join(commits)} (measured files "
            f"{first['text']['sources']}), seeds "
            f"{sorted({r['seed'] for r in self.records})}, {machine['cores']} cores, "
            f"{machine['memory_gb']} GB, "
            f"Python {machine['python']}."
        )

    def assumptions(self) -> str:
        return markdown_table(
            ["assumption", "value", "range", "why"],
            [
                [
                    a.name,
                    format_figure(a.value),
                    f"{format_figure(a.minimum)} to {format_figure(a.maximum)}",
                    a.reason,
                ]
                for a in roles.ASSUMPTIONS
            ],
        )

    def assigner(self) -> str:
        nearest = self.nearest_record()
        values, rows = fit.record_metrics(nearest), []
        for phase, situation in roles.SITUATIONS.items():
            load = self.capacity.assigner(phase, self.size)
            run = values[f"{phase}/cpu"] * self.capacity.cpu_ratio
            rows.append(
                [
                    situation,
                    format_figure(load.messages),
                    format_figure(load.bytes),
                    format_share(load.bytes, roles.BYTES_BUDGET),
                    format_figure(values[f"{phase}/bytes"]),
                    format_figure(load.cpu_ms),
                    format_share(load.cpu_ms, roles.CPU_BUDGET_MS),
                    format_figure(run),
                ]
            )
        memory, size = self.capacity.memory_mb, nearest["size"]
        return (
            markdown_table(
                [
                    "situation",
                    "messages/s",
                    "bytes/s",
                    "of 13 KB/s",
                    "bytes/s, run",
                    "ms of a core/s",
                    "of 4 % of a core",
                    "ms/s, run",
                ],
                rows,
            )
            + f"\n\n*Run*: measured at `{nearest['point']}` ({size['tasks']} tasks, "
            f"{size['slices']} slices, {size['proxies']} proxies, {size['assigners']} assigners "
            f"of which {size['hollow']} ran, {size['reports']} reports a second). Memory of a "
            f"real one at `{self.capacity.memory_point}`: "
            f"{memory:.0f} MB, {format_share(memory, roles.MEMORY_BUDGET_MB)} of 128 MB."
        )

    def nearest_record(self) -> dict:
        """The record whose size is nearest to the target, by the ratios of the axes."""
        return min(
            self.records,
            key=lambda r: sum(
                abs(math.log(r["size"][axis] / self.size[axis]))
                for axis in ("tasks", "slices", "proxies", "assigners", "reports")
            ),
        )

    def traffic_kinds(self) -> str:
        rows = []
        for kind in KINDS:
            values = {
                phase: self.capacity.traffic(phase, kind, "bytes", self.size)
                for phase in ("calm", "release", "zone", "start")
            }
            rows.append(
                [
                    kind,
                    *(format_figure(v) for v in values.values()),
                    format_share(values["calm"], roles.BYTES_BUDGET),
                    *MECHANISMS[kind],
                ]
            )
        return markdown_table(
            [
                "kind",
                "calm, bytes/s",
                "release",
                "zone lost",
                "restart",
                "calm of 13 KB/s",
                "mechanism",
                "state",
            ],
            rows,
        )

    def activities(self) -> str:
        rows = []
        for activity in ACTIVITIES:
            values = [
                self.capacity.cpu_ratio
                * self.capacity.predict(f"{phase}/cpu/{activity}", self.size)
                for phase in ("calm", "release", "zone", "start")
            ]
            rows.append(
                [
                    activity,
                    *map(format_figure, values),
                    format_share(values[0], roles.CPU_BUDGET_MS),
                ]
            )
        return markdown_table(
            ["activity", "calm, ms/s", "release", "zone lost", "restart", "calm of 40 ms/s"], rows
        )

    def other_roles(self) -> str:
        rows = []
        for phase, situation in roles.SITUATIONS.items():
            for load in self.capacity.other_roles(phase, self.size):
                rows.append(
                    [
                        load.role,
                        situation,
                        format_figure(load.messages),
                        format_figure(load.bytes),
                        ROLE_MECHANISMS[load.role],
                    ]
                )
        rows.sort(key=lambda row: list(ROLE_MECHANISMS).index(row[0]))
        return markdown_table(
            ["role", "situation", "messages/s", "bytes/s", "mechanism, all in force"], rows
        )

    def fleets(self) -> str:
        rows = []
        for r in sorted(
            (r for r in self.records if r["role"] == "fleet"), key=lambda r: r["size"]["assigners"]
        ):
            for phase in ("release", "zone", "region"):
                p, times = r["phases"][phase], r["phases"][phase]["taken_ms"]
                rows.append(
                    [
                        r["size"]["assigners"],
                        r["size"]["tasks"],
                        roles.SITUATIONS[phase],
                        times["count"],
                        *(times.get(k, "-") for k in ("median", "p99", "last")),
                        p["unfinished"],
                        format_figure(p["asked_most"]),
                        format_figure(p["fullest_fresh"]) if phase == "release" else "-",
                    ]
                )
        return markdown_table(
            [
                "assigners, all run",
                "tasks",
                "situation",
                "orders",
                "median, ms",
                "99th",
                "last",
                "not carried out",
                "probes/s at one task",
                "fullest fresh task",
            ],
            rows,
        )

    def real_assigners(self) -> str:
        rows = []
        for r in (r for r in self.records if "real" in r):
            real = r["real"]
            ratios = [
                f"{kind} {real[f'{kind}_bytes_real_over_hollow']:.3f}"
                for kind in KINDS
                if f"{kind}_bytes_real_over_hollow" in real
            ]
            counts = [
                real[f"{kind}_messages_real_over_hollow"]
                for kind in KINDS
                if f"{kind}_messages_real_over_hollow" in real
            ]
            rows.append(
                [
                    r["point"],
                    real["count"],
                    ", ".join(ratios),
                    f"{min(counts):.2f} to {max(counts):.2f}",
                    format_figure(real["cpu_ms"]),
                    f"{real['cpu_real_over_hollow']:.2f}",
                    format_figure(real["memory_mb"]),
                ]
            )
        return markdown_table(
            [
                "point",
                "real ones",
                "bytes, real over hollow",
                "messages",
                "real, ms/s",
                "over hollow",
                "real, MB",
            ],
            rows,
        )

    def slopes(self) -> str:
        rows = []
        for metric in SLOPE_METRICS:
            model = self.models[metric]
            for curve in model.curves.values():
                rows.append(
                    [
                        f"`{metric}`",
                        curve.axis,
                        curve.form,
                        format_figure(curve.slope),
                        f"{format_figure(curve.low)} to {format_figure(curve.high)}",
                        format_figure(curve.intercept),
                        format_figure(curve.residual),
                        curve.points,
                        model.combine,
                    ]
                )
        return markdown_table(
            [
                "figure",
                "axis",
                "form",
                "slope",
                "interval",
                "intercept",
                "residual",
                "sizes",
                "axes as",
            ],
            rows,
        )

    def check_predictions(self) -> list:
        metrics = [f"{phase}/{unit}" for phase in roles.SITUATIONS for unit in CHECKED_METRICS]
        return fit.check_predictions(self.records, self.models, metrics)

    def held_out_errors(self) -> str:
        checks = self.check_predictions()
        failed = [c for c in checks if not c.passed]
        summary = (
            f"{len(checks) - len(failed)} of {len(checks)} predictions within 25 % or within 1 % "
            "of a budget. Beyond:\n\n"
        )
        return summary + markdown_table(
            ["point", "figure", "measured", "predicted", "miss"],
            [
                [
                    c.point,
                    f"`{c.metric}`",
                    format_figure(c.measured),
                    format_figure(c.predicted),
                    f"{100 * c.relative_error:+.0f} %",
                ]
                for c in failed
            ],
        )

    def assumption_ranges(self) -> str:
        rows = []
        for name, assumption in (
            ("proxies", roles.PROXIES),
            ("reports", roles.REPORTS),
            ("slices", roles.SLICES),
            ("classes", roles.CLASSES),
        ):
            for value in (assumption.minimum, assumption.value, assumption.maximum):
                size = {**self.size, name: value}
                calm, zone = (self.capacity.assigner(phase, size) for phase in ("calm", "zone"))
                rows.append(
                    [
                        name,
                        format_figure(value),
                        format_figure(calm.bytes),
                        format_figure(calm.cpu_ms),
                        format_figure(zone.bytes),
                        format_figure(zone.cpu_ms),
                    ]
                )
        return markdown_table(
            ["assumption", "value", "calm, bytes/s", "ms/s", "zone lost, bytes/s", "ms/s"], rows
        )

    def extrapolation_factors(self) -> str:
        rows = []
        for axis, value in self.size.items():
            largest = max(r["size"][axis] for r in self.records)
            rows.append(
                [
                    axis,
                    format_figure(value),
                    format_figure(largest),
                    format_figure(max(1.0, value / largest)),
                ]
            )
        together = max(r["size"]["hollow"] for r in self.records)
        rows.append(
            [
                "assigners run together",
                roles.ASSIGNERS,
                together,
                format_figure(roles.ASSIGNERS / together),
            ]
        )
        return markdown_table(["axis", "target", "largest run", "extrapolated by"], rows)

    def ranking(self) -> str:
        rows = []
        for c in sorted(roles.CANDIDATES, key=lambda c: -c.weight(self.capacity, self.size)):
            exhausted = c.exhausted_at(self.capacity)
            current_share = c.share(self.capacity, roles.size_between(0.0))
            rows.append(
                [
                    c.name,
                    roles.SITUATIONS[c.phase],
                    f"{format_figure(c.value(self.capacity, self.size))} {c.unit}/s",
                    f"{c.share(self.capacity, self.size):.2f}",
                    f"{c.time_share:.1g}",
                    f"{current_share:.2f}",
                    f"{exhausted[0]:.0f} and {exhausted[1]:.0f}" if exhausted else "not on the way",
                    c.harm,
                    c.mechanism,
                ]
            )
        return markdown_table(
            [
                "candidate",
                "situation",
                "at the target",
                "share of budget",
                "part of the time",
                "share at 5 and 200",
                "all of it at assigners and tasks",
                "harm",
                "what is missing",
            ],
            rows,
        )


def replace_tables(page: str, tables: dict) -> str:
    """The page with the text between its markers replaced."""

    def replace(match):
        if match["name"] not in tables:
            raise PageError(f"no table is named '{match['name']}'")
        return (
            f"<!-- begin {match['name']} -->\n{tables[match['name']]}\n<!-- end {match['name']} -->"
        )

    if not TABLE_MARKER.search(page):
        raise PageError("a page without a marked table")
    return TABLE_MARKER.sub(replace, page)


def rewrite_pages(folder: Path, pages: list) -> list:
    """Rewrites the pages' tables from the records; returns the pages that changed."""
    tables, changed = Page(record.read_all(folder)).tables(), []
    rewritten = [
        (path, replace_tables(Path(path).read_text(), tables)) for path in pages
    ]  # all pages before any is written
    for path, text in rewritten:
        if text != Path(path).read_text():
            Path(path).write_text(text)
            changed.append(str(path))
    return changed

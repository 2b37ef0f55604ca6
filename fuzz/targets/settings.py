"""The configuration: a valid file with drawn changes must be taken whole, or refused by a line that
names the key."""

import copy
import json
import math
from dataclasses import fields, is_dataclass

from havendyke import config
from havendyke import interface as core
from havendyke.lab.event_loop import SimulatedEventLoop
from havendyke.net.assigner import Assigner

from ..draw import Draw
from ..registry import CheckFailed, check, register
from .world import complete_list, raw_config

RICH = raw_config(
    known=complete_list("s1", "s2"), limits={"cores": 1.0, "memory_mb": 64, "sockets": 256}
)
RICH["settings"] = copy.deepcopy(RICH["settings"]) | {
    "registryMode": "push",
    "weightKind": "nominal",
}
RICH["settings"]["requestClasses"][1] |= {"repeat": "token", "group": "cell", "window": 5e9}
RICH["settings"]["familyInfo"] |= {
    "oneOwner": False,
    "lease": 1e9,
    "lingers": 1e9,
    "updateCap": 20,
    "countedOver": 10e9,
    "interval": 1e9,
    "classOwnZone": [False, True],
}
RICH["settings"]["obligations"] |= {"askWithin": 4e9, "drainGrace": 2e9}
RICH["settings"]["limits"] |= {"connectTimeout": 2e8}
STEP = 4


def below(path) -> tuple:
    """The keys under a path of the valid file: what is missing may be named by its own key."""
    spot = RICH
    for key in path:
        spot = spot[key]
    return (
        tuple(key for sub in paths(spot) for key in sub) if isinstance(spot, (dict, list)) else ()
    )


TOKENS = (
    "NaN",
    "Infinity",
    "-Infinity",
    "1e999",
    "-1",
    "0",
    "1e18",
    "1" + "0" * 400,
    '"\\ud800"',
    "[]",
    "{}",
    '"x"',
    "null",
    "true",
    "3.5",
    "9007199254740993",
    "[1]",
    '"pure"',
    '"1"',
    "-0.0",
    "1e-300",
)


def paths(raw, before=()):
    for key in raw if isinstance(raw, dict) else range(len(raw)):
        yield (*before, key)
        if isinstance(raw[key], (dict, list)):
            yield from paths(raw[key], (*before, key))


PATHS = tuple(paths(RICH))


def changed(data):
    """The text of the file, and the paths that were changed."""
    raw, touched = copy.deepcopy(RICH), []
    for begin in range(0, len(data), STEP):
        draw = Draw(data[begin : begin + STEP])
        path = PATHS[draw.below(len(PATHS))]
        spot, how = raw, draw.byte()
        try:
            for key in path[:-1]:
                spot = spot[key]
            if how % 8 == 7 and isinstance(spot, dict):
                del spot[path[-1]]
            elif how % 8 == 6 and isinstance(spot, dict):
                spot[f"{path[-1]}x"] = 1
            elif how % 8 >= 4:
                spot[path[-1]] = draw.unusual_value()
            else:
                spot[path[-1]] = f"@@{draw.choice(TOKENS)}@@"
            touched.append(path)
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change took this part away
    text = json.dumps(raw)
    for token in TOKENS:
        text = text.replace(json.dumps(f"@@{token}@@"), token)
    return text.encode(), touched


def inspect(made, where="config"):
    """Every figure that was taken is finite, of its field's type, and no more than a life is
    long."""
    for field in fields(made):
        value, name = getattr(made, field.name), f"{where}.{field.name}"
        if is_dataclass(value):
            inspect(value, name)
        elif isinstance(value, list):
            for item in value:
                inspect(item, name) if is_dataclass(item) else None
        elif type(value) in (int, float) and field.name != "seed":
            check(math.isfinite(value) and abs(value) <= 1e18, name, "is", value)
            check(value >= 0, name, "is", value)
            kind = (
                field.type if isinstance(field.type, str) else getattr(field.type, "__name__", "")
            )
            check(kind != "int" or type(value) is int, name, "is no whole number:", value)
            check(kind != "bool", name, "is no truth value:", value)


@register(
    name="settings",
    description="the configuration's file, with up to four drawn changes",
    covers=("config", "fields"),
    engine="hypothesis",
    step_size=STEP,
    max_size=4 * STEP,
    seeds=lambda: (
        [b""]
        + [
            bytes([k, h, t, 0])
            for k in range(len(PATHS))
            for h, t in ((0, 0), (0, 4), (0, 7), (4, 3), (7, 0))
        ]
    ),
)
def settings(data):
    text, touched = changed(data)
    try:
        made = config.parse_config(text, "file", {})
    except config.ConfigError as error:
        check(touched != [], "a valid file is refused:", str(error))
        check("\n" not in str(error) and len(str(error)) < 400, "not one line:", str(error)[:500])
        named = {str(key) for path in touched for key in path + below(path) if isinstance(key, str)}
        check(
            any(key in str(error) for key in named) or "not JSON" in str(error),
            "names none of",
            sorted(named),
            ":",
            str(error),
        )
        return
    inspect(made)
    for c in made.settings.request_classes:
        check(c.idempotency in core.Idempotency, "idempotency", c.idempotency)
    try:
        assigner = Assigner(made, SimulatedEventLoop())
    except ValueError as error:
        check("known" in {p[0] for p in touched}, "cannot be started with:", str(error))
        return
    hub = assigner.event_loop
    assigner.start()
    hub.run_for(600)
    failed = [t for t in hub.logged if t[0] in ("failure", "reconciliation_failed")]
    check(not failed, "a failure:", failed[:2])


@register(
    name="file",
    description="the configuration's file as bytes: truncated, garbled, deep, or of another kind",
    covers=("config",),
    max_size=600,
    dictionary=(b"NaN", b"{", b"}", b"[", b'"settings"', b"1e999", b"\xff", b"null"),
    seeds=lambda: [
        json.dumps(RICH).encode()[:600],
        b"",
        b"[" * 600,
        b"\xff\xfe{",
        b"{}",
        b"null",
        b"NaN",
        b'{"name":1}',
        b'{"a":' * 100,
        b'"' + b"x" * 400,
        b"{" + b'"a":1,' * 90 + b'"a":1}',
    ],
)
def file(data):
    try:
        config.parse_config(data, "file", {})
    except config.ConfigError as error:
        check("\n" not in str(error) and len(str(error)) < 400, "not one line:", str(error)[:500])
    else:
        raise CheckFailed("taken though it names nothing")

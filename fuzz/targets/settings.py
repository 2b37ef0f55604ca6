"""The configuration: a valid file with drawn changes must be accepted completely, or rejected by
one line that names the key."""

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

VALID_CONFIG = raw_config(
    known=complete_list("s1", "s2"), limits={"cores": 1.0, "memory_mb": 64, "sockets": 256}
)
VALID_CONFIG["settings"] = copy.deepcopy(VALID_CONFIG["settings"]) | {
    "registryMode": "push",
    "weightKind": "nominal",
}
VALID_CONFIG["settings"]["requestClasses"][1] |= {"repeat": "token", "group": "cell", "window": 5e9}
VALID_CONFIG["settings"]["familyInfo"] |= {
    "oneOwner": False,
    "lease": 1e9,
    "lingers": 1e9,
    "updateCap": 20,
    "countedOver": 10e9,
    "interval": 1e9,
    "classOwnZone": [False, True],
}
VALID_CONFIG["settings"]["obligations"] |= {"askWithin": 4e9, "drainGrace": 2e9}
VALID_CONFIG["settings"]["limits"] |= {"connectTimeout": 2e8}
STEP_BYTES = 4


def keys_below(path) -> tuple:
    """The keys below a path of the valid file; an error for a missing part may name one of them."""
    value = VALID_CONFIG
    for key in path:
        value = value[key]
    return (
        tuple(key for subpath in paths_of(value) for key in subpath)
        if isinstance(value, (dict, list))
        else ()
    )


JSON_TOKENS = (
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


def paths_of(value, before=()):
    for key in value if isinstance(value, dict) else range(len(value)):
        yield (*before, key)
        if isinstance(value[key], (dict, list)):
            yield from paths_of(value[key], (*before, key))


PATHS = tuple(paths_of(VALID_CONFIG))


def change_config(data):
    """The changed file and the paths that were changed."""
    config_object, changed_paths = copy.deepcopy(VALID_CONFIG), []
    for begin in range(0, len(data), STEP_BYTES):
        draw = Draw(data[begin : begin + STEP_BYTES])
        path = PATHS[draw.below(len(PATHS))]
        container, change = config_object, draw.byte()
        try:
            for key in path[:-1]:
                container = container[key]
            if change % 8 == 7 and isinstance(container, dict):
                del container[path[-1]]
            elif change % 8 == 6 and isinstance(container, dict):
                container[f"{path[-1]}x"] = 1
            elif change % 8 >= 4:
                container[path[-1]] = draw.unusual_value()
            else:
                container[path[-1]] = f"@@{draw.choice(JSON_TOKENS)}@@"
            changed_paths.append(path)
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change removed this part
    text = json.dumps(config_object)
    for token in JSON_TOKENS:
        text = text.replace(json.dumps(f"@@{token}@@"), token)
    return text.encode(), changed_paths


def check_values(settings_object, path="config"):
    """Checks that every accepted number is finite, of its field's type and in a plausible range."""
    for field in fields(settings_object):
        value, name = getattr(settings_object, field.name), f"{path}.{field.name}"
        if is_dataclass(value):
            check_values(value, name)
        elif isinstance(value, list):
            for item in value:
                check_values(item, name) if is_dataclass(item) else None
        elif type(value) in (int, float) and field.name != "seed":
            check(math.isfinite(value) and abs(value) <= 1e18, name, "is", value)
            check(value >= 0, name, "is", value)
            kind = (
                field.type if isinstance(field.type, str) else getattr(field.type, "__name__", "")
            )
            check(kind != "int" or type(value) is int, name, "is not an integer:", value)
            check(kind != "bool", name, "is not a boolean:", value)


@register(
    name="settings",
    description="the configuration file with up to four drawn changes",
    covers=("config", "fields"),
    engine="hypothesis",
    step_size=STEP_BYTES,
    max_size=4 * STEP_BYTES,
    seeds=lambda: (
        [b""]
        + [
            bytes([k, change, value, 0])
            for k in range(len(PATHS))
            for change, value in ((0, 0), (0, 4), (0, 7), (4, 3), (7, 0))
        ]
    ),
)
def settings(data):
    text, changed_paths = change_config(data)
    try:
        parsed = config.parse_config(text, "file", {})
    except config.ConfigError as error:
        check(changed_paths != [], "a valid file is rejected:", str(error))
        check("\n" not in str(error) and len(str(error)) < 400, "not one line:", str(error)[:500])
        changed_keys = {
            str(key)
            for path in changed_paths
            for key in path + keys_below(path)
            if isinstance(key, str)
        }
        check(
            any(key in str(error) for key in changed_keys) or "not JSON" in str(error),
            "names none of",
            sorted(changed_keys),
            ":",
            str(error),
        )
        return
    check_values(parsed)
    for request_class in parsed.settings.request_classes:
        check(
            request_class.idempotency in core.Idempotency, "idempotency", request_class.idempotency
        )
    try:
        assigner = Assigner(parsed, SimulatedEventLoop())
    except ValueError as error:
        check("known" in {path[0] for path in changed_paths}, "cannot be started with:", str(error))
        return
    event_loop = assigner.event_loop
    assigner.start()
    event_loop.run_for(600)
    failed = [
        entry for entry in event_loop.logged if entry[0] in ("failure", "reconciliation_failed")
    ]
    check(not failed, "a failure:", failed[:2])


@register(
    name="file",
    description="the configuration file as bytes: truncated, corrupted, nested or of another type",
    covers=("config",),
    max_size=600,
    dictionary=(b"NaN", b"{", b"}", b"[", b'"settings"', b"1e999", b"\xff", b"null"),
    seeds=lambda: [
        json.dumps(VALID_CONFIG).encode()[:600],
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
        raise CheckFailed("accepted without the required fields")

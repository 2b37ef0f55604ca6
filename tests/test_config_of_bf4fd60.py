"""The configuration is read, and refused, as at commit bf4fd60, which wrote the outcomes.

`config_outcomes.jsonl` has a line for each changed file: the text of the refusal, or the values
that differ from those of the unchanged file, by their place.
"""

import copy
import json
from dataclasses import astuple, fields
from pathlib import Path

import pytest

from havendyke import config

DATA = Path(__file__).parent / "recovery" / "data" / "bf4fd60"
GIVEN = json.loads((DATA / "config.json").read_text())
MISSING = object()
IDEMPOTENCY = {"idempotent": "safe", "keyed": "keyed", "non_idempotent": "once"}


def paths(raw, before=()):
    for key in raw if isinstance(raw, dict) else range(len(raw)):
        yield (*before, key)
        if isinstance(raw[key], (dict, list)):
            yield from paths(raw[key], (*before, key))


def changed(path, value):
    raw = copy.deepcopy(GIVEN["base"])
    spot = raw
    for key in path[:-1]:
        spot = spot[key]
    if value is MISSING:
        del spot[path[-1]]
    else:
        spot[path[-1]] = value
    return json.dumps(raw)


def texts():
    yield from GIVEN["texts"]
    for path in paths(GIVEN["base"]):
        for value in [MISSING, *GIVEN["values"]]:
            yield changed(path, value)


def request_class(made):
    objective, deadline, idempotency, *others = astuple(made)
    return [objective, deadline, IDEMPOTENCY[idempotency], *others]


def wire_names(made):
    return {
        "zones": made.zones,
        "kinds": made.machine_kinds,
        "classes": made.request_classes,
        "reports": made.has_load_reports,
        "proxies": made.proxy_count,
    }


def outcome(text, environ):
    try:
        made = config.parse_config(text.encode(), "file", environ)
    except config.ConfigError as error:
        return ["refused", str(error)]
    settings = [getattr(made.settings, field.name) for field in fields(made.settings)]
    values = [
        made.name,
        made.listen,
        made.discovery,
        made.relay,
        made.seed,
        made.known,
        [request_class(one) for one in made.settings.request_classes],
        settings[1:],
        wire_names(made.wire_names),
        list(astuple(made.limits)),
    ]
    return ["read", json.loads(json.dumps(values))]


def differences(values, unchanged):
    """The values that differ, by place; of settings and limits, place by place again."""
    made = []
    for place, (value, before) in enumerate(zip(values, unchanged, strict=True)):
        if value != before or type(value) is not type(before):
            pairs = enumerate(zip(value, before, strict=True)) if place in (7, 9) else ()
            made.append([place, [[n, a] for n, (a, b) in pairs if a != b] if pairs else value])
    return made


def test_the_unchanged_file_is_read_to_the_same_values():
    assert outcome(json.dumps(GIVEN["base"]), {}) == GIVEN["whole"]


@pytest.mark.parametrize("environ, expected", GIVEN["environments"])
def test_variables_are_compared_with_the_same_words(environ, expected):
    assert outcome(json.dumps(GIVEN["base"]), environ) == expected


def test_each_changed_file_is_read_or_refused_as_before():
    expected = (DATA / "config_outcomes.jsonl").read_text().splitlines()
    given = list(texts())
    assert len(given) == len(expected)
    for text, line in zip(given, expected, strict=True):
        kind, made = outcome(text, {})
        seen = made if kind == "refused" else differences(made, GIVEN["whole"][1])
        assert seen == json.loads(line), text

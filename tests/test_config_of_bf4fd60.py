"""Configuration files are accepted and rejected as at commit bf4fd60, which recorded the outcomes.

`config_outcomes.jsonl` has a line for each changed file: the text of the error, or the values that
differ from those of the unchanged file, by their position.
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


def changed_file(path, value):
    raw = copy.deepcopy(GIVEN["base"])
    container = raw
    for key in path[:-1]:
        container = container[key]
    if value is MISSING:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return json.dumps(raw)


def file_texts():
    yield from GIVEN["texts"]
    for path in paths(GIVEN["base"]):
        for value in [MISSING, *GIVEN["values"]]:
            yield changed_file(path, value)


def request_class_values(request_class):
    objective, deadline, idempotency, *others = astuple(request_class)
    return [objective, deadline, IDEMPOTENCY[idempotency], *others]


def wire_name_values(names):
    return {
        "zones": names.zones,
        "kinds": names.machine_kinds,
        "classes": names.request_classes,
        "reports": names.has_load_reports,
        "proxies": names.proxy_count,
    }


def outcome(text, environ):
    try:
        parsed = config.parse_config(text.encode(), "file", environ)
    except config.ConfigError as error:
        return ["refused", str(error)]
    settings = [getattr(parsed.settings, field.name) for field in fields(parsed.settings)]
    values = [
        parsed.name,
        parsed.listen,
        parsed.discovery,
        parsed.relay,
        parsed.seed,
        parsed.known,
        [request_class_values(each) for each in parsed.settings.request_classes],
        settings[1:],
        wire_name_values(parsed.wire_names),
        list(astuple(parsed.limits)),
    ]
    return ["read", json.loads(json.dumps(values))]


def differences(values, unchanged):
    """The values that differ, by position; of settings and limits, the positions within them."""
    differing = []
    for position, (value, before) in enumerate(zip(values, unchanged, strict=True)):
        if value != before or type(value) is not type(before):
            pairs = enumerate(zip(value, before, strict=True)) if position in (7, 9) else ()
            differing.append(
                [position, [[n, a] for n, (a, b) in pairs if a != b] if pairs else value]
            )
    return differing


def test_the_unchanged_file_is_read_to_the_same_values():
    assert outcome(json.dumps(GIVEN["base"]), {}) == GIVEN["whole"]


@pytest.mark.parametrize("environ, expected", GIVEN["environments"])
def test_variables_are_compared_with_the_same_results(environ, expected):
    assert outcome(json.dumps(GIVEN["base"]), environ) == expected


def test_each_changed_file_is_accepted_or_rejected_as_before():
    expected = (DATA / "config_outcomes.jsonl").read_text().splitlines()
    given_texts = list(file_texts())
    assert len(given_texts) == len(expected)
    for text, line in zip(given_texts, expected, strict=True):
        kind, result = outcome(text, {})
        actual = result if kind == "refused" else differences(result, GIVEN["whole"][1])
        assert actual == json.loads(line), text

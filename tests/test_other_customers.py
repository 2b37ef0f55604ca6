"""Settings of deployments that nobody has seen: a default, or one line that names the key; never a
traceback, at the start or in the first reconciliations."""

import copy

import orjson
import pytest
from helpers import FakeEventLoop, complete_list, raw_config, take_pending_events
from hypothesis import given, settings
from hypothesis import strategies as st

from havendyke import config
from havendyke import interface as core
from havendyke.net.assigner import Assigner

# A deployment as the page of the wire shows one, with all keys.
FULL = {
    "balancers": 5,
    "me": 0,
    "zone": 1,
    "kinds": ["m1", "m2"],
    "localities": ["a", "b", "c"],
    "registryMode": "push",
    "weightKind": "nominal",
    "serviceType": "control",
    "tick": 5e6,
    "worthBy": "request",
    "telemetry": {"names": ["depth", "mean_ms"], "source": "answers"},
    "limits": {
        "connIdle": 15e9,
        "connectTimeout": 25e7,
        "cpuUsPerS": 4e5,
        "maxStreams": 100,
        "probes": True,
    },
    "obligations": {
        "askWithin": 1e10,
        "cold": 16e9,
        "coldFrom": 0.16,
        "drainGrace": 34e8,
        "fall": 15e8,
        "overloadFactor": 3.0,
    },
    "familyInfo": {
        "bootstrap": 6,
        "channelRate": 2100.0,
        "classOwnZone": [False, False],
        "classWrites": [False, True],
        "countedOver": 1e10,
        "dataPlaneSize": 6,
        "emptyFor": 38e8,
        "firstWait": 1.2,
        "interval": 5e8,
        "keyRanges": 8,
        "lease": 15e8,
        "lingers": 602e7,
        "oneOwner": False,
        "overhead": 8.0,
        "pendingMax": 4200.0,
        "pushDelay": 469e6,
        "smallestConnTable": 119.0,
        "strikes": 8,
        "throttleBy": "share",
        "updateCap": 0,
        "waitsForTable": 2e8,
    },
    "requestClasses": [
        {
            "name": "read",
            "promise": 1e9,
            "hardLimit": 3e9,
            "repeat": "pure",
            "group": "all",
            "window": 5e9,
            "worth": 1.0,
        },
        {
            "name": "log",
            "promise": 25e8,
            "hardLimit": 6e9,
            "repeat": "side_effect",
            "group": "all",
            "window": 5e9,
        },
    ],
}


def paths(document, *parents):
    """The paths of all values in a JSON document."""
    for key, value in document.items() if isinstance(document, dict) else enumerate(document):
        yield (*parents, key)
        if isinstance(value, (dict, list)):
            yield from paths(value, *parents, key)


def key_of(path) -> str:
    """The last key of an object in a path."""
    return next(str(key) for key in reversed(path) if isinstance(key, str))


REMOVED = object()
UNEXPECTED = st.sampled_from(
    [
        REMOVED,
        None,
        0,
        -1,
        1,
        0.5,
        1e-9,
        2**31,
        2**63,
        1e18,
        -1e18,
        True,
        False,
        "",
        "0",
        "all",
        "zone",
        "token",
        "ask",
        "rate",
        "none",
        "live",
        [],
        {},
        [[]],
        [None],
        ["x", "x"],
        {"x": 1},
        "é" * 3,
        "x" * 5000,
        [0] * 40,
    ]
)
CHANGES = st.lists(
    st.tuples(st.sampled_from(sorted(paths(FULL), key=str)), UNEXPECTED), min_size=1, max_size=6
)


def key_in(container, key):
    """A path's key as one of this container: JSON knows no numbers as keys of an object."""
    return str(key) if isinstance(container, dict) else key


def changed(changes):
    """FULL with the changes, which share nothing with it or with what was drawn: other examples get
    the same values."""
    document = copy.deepcopy(FULL)
    for path, value in changes:
        container = document
        try:
            for key in path[:-1]:
                container = container[key_in(container, key)]
            last = key_in(container, path[-1])
            if value is REMOVED:
                del container[last]
            else:
                container[last] = copy.deepcopy(value)
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change has removed the container
    return document


def run(wire_settings):
    """The first reconciliations of an assigner with the settings; the error's text where they are
    not accepted."""
    raw = raw_config(settings=wire_settings, known=complete_list("s1", "s2", "s3"))
    try:
        ready = config.read(orjson.dumps(raw), "a test", {})
    except config.ConfigError as error:
        return str(error)
    assigner = Assigner(ready, FakeEventLoop())
    assigner.start()
    registry = assigner.registry
    piece = [core.SliceAssignment(registry.slice(0), True)] if ready.settings.slice_count else []
    for events in (
        piece
        + [core.ProxyConnected(registry.proxy(k), 0, 2.0, True) for k in range(3)]
        + [core.PushChannelStatus(True)],
        [core.ServerLoadReport(s, 0, 9, 3, 50.0, 500.0) for s in list(registry.servers.values())],
        [core.ProxyDisconnected(registry.proxy(0)), core.TimerFired(0)],
    ):
        for event in events:
            assigner.notify(event)
        assigner.event_loop.run()
        assigner.event_loop.run_for(1500.0)
    assert not assigner.event_loop.counters.get(
        "failed_reconciliations"
    ) and not assigner.event_loop.counters.get("failures"), assigner.event_loop.logged
    take_pending_events(assigner)
    return None


@settings(max_examples=250, deadline=None)
@given(CHANGES)
def test_unexpected_settings_get_a_default_or_an_error_of_one_line(changes):
    error = run(changed(changes))
    assert error is None or "\n" not in error and len(error) < 400


def test_a_change_to_one_example_is_not_seen_in_the_next():
    shared_object, shared_list = {}, [[]]
    changes = [
        (("kinds",), shared_object),
        (("kinds", 0), "m1"),
        (("localities",), shared_list),
        (("localities", 0), "a"),
        (("requestClasses", 0), shared_object),
        (("requestClasses", 0, "name"), "read"),
    ]
    first, untouched = changed(changes), copy.deepcopy(FULL)
    assert (shared_object, shared_list) == ({}, [[]])
    assert first["requestClasses"][0] == {"name": "read"} and "name" not in first["kinds"]
    assert changed(changes[:1])["kinds"] == {} and changed(changes) == first
    assert changed([]) == FULL == untouched


@pytest.mark.parametrize("value", [{}, {"x": 1}])
def test_a_number_in_a_path_names_a_key_of_an_object_as_json_has_it(value):
    keyed = changed([(("kinds",), value), (("kinds", 0), {}), (("kinds", 0, "x"), 5)])
    assert keyed["kinds"] == value | {"0": {"x": 5}} and orjson.loads(orjson.dumps(keyed)) == keyed
    dropped = changed(
        [(("kinds",), value), (("kinds", 0), 1), (("kinds", 0), REMOVED), (("kinds", 1), REMOVED)]
    )
    assert dropped["kinds"] == value


@pytest.mark.parametrize(
    "path", sorted(paths(FULL), key=str), ids=lambda path: ".".join(map(str, path))
)
def test_each_key_that_is_missing_or_has_no_meaning_is_named_or_has_a_default(path):
    for value in (REMOVED, None, 0, -1, 1e30, "odd", [], {}):
        error = run(changed([(path, value)]))
        # The error names this key, an object around it, or what an empty object lacks.
        lacks = value == {} and "is missing" in (error or "")
        assert (
            error is None
            or any(str(key) in error for key in path)
            or key_of(path) in error
            or lacks
        ), error

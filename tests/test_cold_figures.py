"""Missing or invalid settings and start times of slow start: a default, or one error that names the
key; nothing else is rejected."""

import copy

import orjson
import pytest
from controller_harness import ControllerHarness
from helpers import (
    feed,
    http_response,
    listed_server,
    make_assigner,
    raw_config,
    suspend_reconciliation,
    take_pending_events,
)
from test_unexpected_settings import FULL, run

from havendyke import config
from havendyke import interface as core


def with_obligations(**changes):
    """The deployment's settings with these obligations; None leaves one out."""
    document = copy.deepcopy(FULL)
    obligations = document["obligations"] | changes
    document["obligations"] = {k: value for k, value in obligations.items() if value is not None}
    return document


def read(wire_settings):
    return config.parse_config(
        orjson.dumps(raw_config(settings=wire_settings)), "a test", {}
    ).settings


@pytest.mark.parametrize(
    "changes, expected",
    [
        ({"cold": None, "coldFrom": None, "overloadFactor": None}, (0.0, 1.0, 1e9)),
        ({"cold": None}, (0.0, 0.16, 3.0)),
        ({"coldFrom": None}, (16e3, 1.0, 3.0)),
        ({"overloadFactor": None}, (16e3, 0.16, 1e9)),
        ({"cold": 0}, (0.0, 0.16, 3.0)),
        ({"coldFrom": 0}, (16e3, 0.0, 3.0)),
        ({"overloadFactor": 1}, (16e3, 0.16, 1.0)),
    ],
)
def test_missing_obligations_get_their_defaults_and_the_others_stay(changes, expected):
    document = with_obligations(**changes)
    settings = read(document)
    assert (
        settings.warm_up_ms,
        settings.initial_capacity_share,
        settings.warm_up_overload_factor,
    ) == expected
    assert settings.lease_ms == read(FULL).lease_ms
    assert settings.request_classes == read(FULL).request_classes
    assert run(document) is None


def test_settings_without_obligations_run():
    document = copy.deepcopy(FULL)
    del document["obligations"]
    assert run(document) is None


@pytest.mark.parametrize(
    "key, values",
    [
        ("coldFrom", (1.0001, 16, -0.1, "0.2", [])),
        ("overloadFactor", (0.999, 0.5, 0, -3, "3", {})),
        ("cold", (-1, "16", True)),
    ],
)
def test_obligations_out_of_range_are_named_in_one_line(key, values):
    for value in values:
        error = run(with_obligations(**{key: value}))
        assert error and f"'{key}'" in error and "\n" not in error


# Start times in the endpoint list


def changes(assigner, **started):
    """The event of a list change with these servers and their start times (Unix ms)."""
    targets = [listed_server(name, boot_ms=boot) for name, boot in started.items()]
    listing = {"rev": 11, "all": False, "targets": targets}
    return assigner.peer_codecs.endpoint_list.decode(listing).event


def test_a_start_in_the_future_is_taken_as_now_and_kept():
    assigner, event_loop = make_assigner()
    suspend_reconciliation(assigner)
    first = {e.server.id: e.started_ms for e in changes(assigner, s1=9e15, s2=5500).entries}
    assert first == {"s1": event_loop.now(), "s2": 500.0}
    event_loop.run_for(5000)
    again = {e.server.id: e.started_ms for e in changes(assigner, s1=9e15, s2=5500).entries}
    assert again == first


def test_a_start_time_that_goes_backwards_changes_no_servers_start():
    assigner, event_loop = make_assigner()
    suspend_reconciliation(assigner)
    harness = ControllerHarness.wrap(assigner.registry.controller)
    harness.observe(changes(assigner, s1=5900, s2=5500))
    before = {s.id: harness.started_ms(s) for s in harness.servers}
    harness.observe(changes(assigner, s1=5100, s2=0))
    assert {s.id: harness.started_ms(s) for s in harness.servers} == before


@pytest.mark.parametrize("boot", [-1, "5500", [], True])
def test_an_invalid_start_time_rejects_only_its_entry_and_is_logged(boot):
    assigner, event_loop = make_assigner(discovery_watch_count=1)
    suspend_reconciliation(assigner).discovery.open_watches()
    take_pending_events(assigner)
    targets = [
        listed_server("s1", boot_ms=boot),
        listed_server("s2", "terminating"),
        listed_server("s3", az="mars"),
    ]
    feed(event_loop.open("discovery"), http_response({"rev": 4, "all": True, "targets": targets}))
    (event,) = take_pending_events(assigner, core.EndpointListUpdate)
    assert [(e.server.id, e.state) for e in event.entries] == [("s2", "draining"), ("s3", "ready")]
    lines = [fields for name, fields in event_loop.logged if name == "bad_entry"]
    assert len(lines) == 1 and "boot_ms" in lines[0]["field"]

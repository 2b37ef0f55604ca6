"""Settings of customers that nobody has seen: a default, or one line that names the key; never a trace, at the start or
in the first turns."""
import copy

import orjson
import pytest
from helpers import FakeHub, raw_config, told, whole_list
from hypothesis import given, settings
from hypothesis import strategies as st

from havendyke import config
from havendyke import interface as core
from havendyke.net.assigner import Assigner

# A customer as the wire page shows one, all keys told.
FULL = {
    "balancers": 5, "me": 0, "zone": 1, "kinds": ["m1", "m2"], "localities": ["a", "b", "c"], "registryMode": "push",
    "weightKind": "nominal", "serviceType": "control", "tick": 5e6, "worthBy": "request",
    "telemetry": {"names": ["depth", "mean_ms"], "source": "answers"},
    "limits": {"connIdle": 15e9, "connectTimeout": 25e7, "cpuUsPerS": 4e5, "maxStreams": 100, "probes": True},
    "obligations": {"askWithin": 1e10, "cold": 16e9, "coldFrom": 0.16, "drainGrace": 34e8, "fall": 15e8,
                    "overloadFactor": 3.0},
    "familyInfo": {"bootstrap": 6, "channelRate": 2100.0, "classOwnZone": [False, False], "classWrites": [False, True],
                   "countedOver": 1e10, "dataPlaneSize": 6, "emptyFor": 38e8, "firstWait": 1.2, "interval": 5e8,
                   "keyRanges": 8, "lease": 15e8, "lingers": 602e7, "oneOwner": False, "overhead": 8.0,
                   "pendingMax": 4200.0, "pushDelay": 469e6, "smallestConnTable": 119.0, "strikes": 8,
                   "throttleBy": "share", "updateCap": 0, "waitsForTable": 2e8},
    "requestClasses": [
        {"name": "read", "promise": 1e9, "hardLimit": 3e9, "repeat": "pure", "group": "all", "window": 5e9, "worth": 1.0},
        {"name": "log", "promise": 25e8, "hardLimit": 6e9, "repeat": "side_effect", "group": "all", "window": 5e9}]}


def paths(told, *before):
    for key, value in (told.items() if isinstance(told, dict) else enumerate(told)):
        yield (*before, key)
        if isinstance(value, (dict, list)):
            yield from paths(value, *before, key)


def key_of(path) -> str:
    return next(str(word) for word in reversed(path) if isinstance(word, str))


GONE = object()
ODD = st.sampled_from([
    GONE, None, 0, -1, 1, 0.5, 1e-9, 2 ** 31, 2 ** 63, 1e18, -1e18, True, False, "", "0", "all", "zone", "token", "ask", "rate",
    "none", "live", [], {}, [[]], [None], ["x", "x"], {"x": 1}, "é" * 3, "x" * 5000, [0] * 40])
CHANGES = st.lists(st.tuples(st.sampled_from(sorted(paths(FULL), key=str)), ODD), min_size=1, max_size=6)


def changed(changes):
    made = copy.deepcopy(FULL)
    for path, value in changes:
        place = made
        try:
            for word in path[:-1]:
                place = place[word]
            if value is GONE:
                del place[path[-1]]
            else:
                place[path[-1]] = value
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change has taken its place away
    return made


def run(made):
    """The first turns of an assigner with them, as far as they are taken; the error's line where they are not."""
    raw = raw_config(settings=made, known=whole_list("s1", "s2", "s3"))
    try:
        ready = config.read(orjson.dumps(raw), "a test", {})
    except config.ConfigError as error:
        return str(error)
    assigner = Assigner(ready, FakeHub())
    assigner.start()
    door = assigner.door
    piece = [core.Custody(door.slice(0), True)] if ready.settings.slices else []
    for events in (piece + [core.Joined(door.proxy(k), 0, 2.0, True) for k in range(3)] + [core.Reached(True)],
                   [core.ServerReport(s, 0, 9, 3, 50.0, 500.0) for s in list(door.servers.values())],
                   [core.Parted(door.proxy(0)), core.Reminder(0)]):
        for event in events:
            assigner.tell(event)
        assigner.hub.run()
        assigner.hub.pass_time(1500.0)
    assert not assigner.hub.counters.get("failed_turns") and not assigner.hub.counters.get("failures"), assigner.hub.logged
    told(assigner)
    return None


@settings(max_examples=250, deadline=None)
@given(CHANGES)
def test_odd_settings_get_a_default_or_one_line(changes):
    said = run(changed(changes))
    assert said is None or "\n" not in said and len(said) < 400


@pytest.mark.parametrize("path", sorted(paths(FULL), key=str), ids=lambda path: ".".join(map(str, path)))
def test_each_key_left_out_or_of_no_meaning_is_named_or_has_a_default(path):
    for value in (GONE, None, 0, -1, 1e30, "odd", [], {}):
        said = run(changed([(path, value)]))
        # The line names this key, a whole that holds it, or what an empty whole lacks.
        lacks = value == {} and "is missing" in (said or "")
        assert said is None or any(str(word) in said for word in path) or key_of(path) in said or lacks, said

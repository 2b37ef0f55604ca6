import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from helpers import SETTINGS, complete_list, raw_config

from havendyke.__main__ import main
from havendyke.config import ConfigError, load_config, parse_config
from havendyke.net.resp import encode


def write_config(tmp_path, raw):
    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    return str(path)


@pytest.mark.parametrize(
    "raw, environ, key",
    [
        ("{", {}, "not JSON"),
        ([], {}, "object"),
        (raw_config(name=None), {}, "name"),
        (raw_config(listen=4), {}, "listen"),
        (raw_config(listen="nowhere"), {}, "listen"),
        (raw_config(discovery="h:99999"), {}, "discovery"),
        (raw_config(distributor={}), {}, "address"),
        (raw_config(distributor={"address": "x"}), {}, "distributor.address"),
        (raw_config(seed="xyz"), {}, "seed"),
        (raw_config(settings=None), {}, "settings"),
        (raw_config(settings=SETTINGS | {"requestClasses": []}), {}, "requestClasses"),
        (raw_config(settings=SETTINGS | {"familyInfo": {"keyRanges": "8"}}), {}, "keyRanges"),
        *(
            (raw_config(settings=SETTINGS | {"balancers": b}), {}, "balancers")
            for b in (0, -1, 2.5, 10**6, "5", True)
        ),
        (
            raw_config(settings=SETTINGS | {"familyInfo": {"smallestConnTable": -1}}),
            {},
            "smallestConnTable",
        ),
        (raw_config(limits={"sockets": 10}), {}, "sockets"),
        (raw_config(limits={"memory_mb": True}), {}, "memory_mb"),
        (raw_config(), {"ROUTER_LISTEN": "127.0.0.2:1"}, "listen"),
        (raw_config(), {"ROUTER_NAME": "n2"}, "name"),
    ],
)
def test_an_error_names_the_invalid_key(tmp_path, raw, environ, key):
    with pytest.raises(ConfigError, match=key):
        load_config({"ROUTER_CONFIG": write_config(tmp_path, raw), **environ})


@pytest.mark.parametrize("environ", [{}, {"ROUTER_CONFIG": "/nonexistent/config.json"}])
def test_a_missing_configuration_exits_with_one_line_and_status_2(environ):
    completed = subprocess.run(
        [sys.executable, "-m", "havendyke"],
        env={"PATH": os.environ["PATH"], **environ},
        capture_output=True,
        text=True,
    )
    assert (
        completed.returncode == 2
        and "ROUTER_CONFIG" in completed.stderr
        and completed.stderr.count("\n") == 1
    )


@pytest.mark.parametrize(
    "raw, output, status",
    [
        (raw_config(known=complete_list("s1")), "well", 0),
        (raw_config(known={"rev": 1, "all": True}), "targets", 2),
        (
            raw_config(known={"rev": 1, "all": True, "targets": [{"uid": "s1", "state": "odd"}]}),
            "state",
            2,
        ),
    ],
)
def test_a_configuration_can_be_checked_without_starting(tmp_path, capsys, raw, output, status):
    assert main(["--check", "--config", write_config(tmp_path, raw)]) == status
    assert output in "".join(capsys.readouterr())


@pytest.mark.parametrize(
    "counts, controller_count", [({}, 1), ({"balancers": 5}, 5), ({"balancers": 1024.0}, 1024)]
)
def test_counts_may_be_omitted_or_written_as_floats(tmp_path, counts, controller_count):
    # Deployments write 119.0 for a table of 119 connections; if only integers were accepted, the
    # assigner would not start there.
    family = SETTINGS["familyInfo"] | {
        "smallestConnTable": 119.0,
        "keyRanges": 1241.0,
        "dataPlaneSize": 2000.0,
    }
    raw = raw_config(
        settings=SETTINGS | {"familyInfo": family} | counts,
        known=complete_list(*(f"s{k}" for k in range(3000))),
    )
    config = load_config({"ROUTER_CONFIG": write_config(tmp_path, raw)})
    assert (
        config.settings.controller_count,
        config.settings.slice_count,
        config.wire_names.proxy_count,
    ) == (
        controller_count,
        1241,
        2000,
    )
    assert config.settings.connection_capacity == 119 and len(config.known["targets"]) == 3000


@pytest.mark.parametrize("sockets", [48, 128, 1024, 65536])
def test_limits_leave_descriptors_and_memory_in_reserve(tmp_path, sockets):
    config = load_config(
        {
            "ROUTER_CONFIG": write_config(
                tmp_path, raw_config(limits={"sockets": sockets, "memory_mb": 64})
            )
        }
    )
    limits = config.limits
    assert limits.max_health_checks <= limits.max_connections / 4 and (
        sockets < 1024 or limits.max_health_checks >= 240
    )
    assert (
        limits.max_connections < sockets - 12
        and 4 < limits.max_clients < limits.max_connections
        and limits.buffer_budget_bytes <= 16e6
    )
    assert (
        config.relay == ("127.0.0.1", 6400)
        and config.seed == 0x8C1F
        and config.wire_names.request_classes[1] == "write"
    )


def test_the_program_replies_without_peers_prints_counters_and_ends_on_sigterm(tmp_path):
    # At first another socket holds the address, as after a restart.
    previous_listener = socket.create_server(("127.0.0.1", 0))
    port = previous_listener.getsockname()[1]
    raw = raw_config(
        listen=f"127.0.0.1:{port}", discovery="127.0.0.1:1", distributor={"address": "127.0.0.1:1"}
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "havendyke", "--config", write_config(tmp_path, raw)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    try:
        for line in process.stderr:
            if b'"listen_failed"' in line:
                previous_listener.close()
            if b'"listening"' in line:
                break
        with socket.create_connection(("127.0.0.1", port), timeout=10) as client:
            client.sendall(encode("PING"))
            assert client.recv(100) == encode("PONG")
            process.send_signal(signal.SIGUSR1)
            assert json.loads(process.stdout.readline())["pings"] == 1
            process.send_signal(signal.SIGTERM)
            output, _ = process.communicate(timeout=10)
        assert process.returncode == 0 and json.loads(output)["event"] == "counters"
    finally:
        previous_listener.close()
        process.kill()


def changed_settings(**changes):
    return SETTINGS | {
        key: SETTINGS.get(key, {}) | value if isinstance(value, dict) else value
        for key, value in changes.items()
    }


@pytest.mark.parametrize(
    "raw, key",
    [
        *(
            (changed_settings(familyInfo={key: value}), key)
            for key in ("pendingMax", "channelRate", "overhead", "pushDelay", "interval")
            for value in (-1, 1e30, "1", True, 10**40)
        ),
        *(
            (changed_settings(obligations={key: value}), key)
            for key in ("cold", "coldFrom", "overloadFactor")
            for value in (-1, 1e30, [1])
        ),
        *(
            (changed_settings(obligations={"overloadFactor": value}), "overloadFactor")
            for value in (0, 0.5, 0.999)
        ),
        *(
            (SETTINGS | {"requestClasses": [SETTINGS["requestClasses"][0] | {key: value}]}, key)
            for key, value in (
                ("repeat", ["pure"]),
                ("repeat", "Pure"),
                ("promise", 0),
                ("hardLimit", -5),
                ("group", "rack"),
                ("window", 1e30),
            )
        ),
        (changed_settings(weightKind=1), "weightKind"),
        (changed_settings(registryMode="pull"), "registryMode"),
        (changed_settings(localities=["a", "a"]), "localities"),
        (changed_settings(localities=["a", 7]), "localities"),
        (changed_settings(requestClasses=[5]), "requestClasses"),
        (changed_settings(familyInfo={"classOwnZone": [1]}), "classOwnZone"),
        (changed_settings(limits={"connectTimeout": 0}), "connectTimeout"),
    ],
)
def test_an_error_names_the_key_with_an_out_of_range_value(raw, key):
    with pytest.raises(ConfigError, match=key):
        parse_config(json.dumps(raw_config(settings=raw)).encode(), "file", {})


@pytest.mark.parametrize("text", ["NaN", "Infinity", "-Infinity"])
def test_a_number_that_is_not_finite_is_not_json(text):
    raw = json.dumps(raw_config()).replace("4000.0", text).encode()
    with pytest.raises(ConfigError, match="not JSON"):
        parse_config(raw, "file", {})


def test_unknown_keys_may_have_any_value():
    unknown = changed_settings(obligations={"drainGrace": "soon"}, worthBy=[], prices={"x": None})
    parse_config(
        json.dumps(raw_config(settings=unknown, limits={"cores": "many"})).encode(), "file", {}
    )

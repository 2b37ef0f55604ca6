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


def written(tmp_path, raw):
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
def test_an_error_names_the_wrong_key(tmp_path, raw, environ, key):
    with pytest.raises(ConfigError, match=key):
        load_config({"ROUTER_CONFIG": written(tmp_path, raw), **environ})


@pytest.mark.parametrize("environ", [{}, {"ROUTER_CONFIG": "/nonexistent/config.json"}])
def test_a_missing_configuration_ends_with_a_line_and_status_2(environ):
    done = subprocess.run(
        [sys.executable, "-m", "havendyke"],
        env={"PATH": os.environ["PATH"], **environ},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2 and "ROUTER_CONFIG" in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "raw, said, status",
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
def test_a_configuration_can_be_checked_without_starting(tmp_path, capsys, raw, said, status):
    assert main(["--check", "--config", written(tmp_path, raw)]) == status
    assert said in "".join(capsys.readouterr())


@pytest.mark.parametrize(
    "told, instances", [({}, 1), ({"balancers": 5}, 5), ({"balancers": 1024.0}, 1024)]
)
def test_counts_may_be_left_out_or_written_with_a_point(tmp_path, told, instances):
    # The deployments' files write 119.0 for a table of 119 connections: the first text refused to
    # start for it.
    family = SETTINGS["familyInfo"] | {
        "smallestConnTable": 119.0,
        "keyRanges": 1241.0,
        "dataPlaneSize": 2000.0,
    }
    raw = raw_config(
        settings=SETTINGS | {"familyInfo": family} | told,
        known=complete_list(*(f"s{k}" for k in range(3000))),
    )
    config = load_config({"ROUTER_CONFIG": written(tmp_path, raw)})
    assert (
        config.settings.controller_count,
        config.settings.slice_count,
        config.wire_names.proxy_count,
    ) == (
        instances,
        1241,
        2000,
    )
    assert config.settings.connection_capacity == 119 and len(config.known["targets"]) == 3000


@pytest.mark.parametrize("sockets", [48, 128, 1024, 65536])
def test_limits_leave_descriptors_and_memory_free(tmp_path, sockets):
    config = load_config(
        {
            "ROUTER_CONFIG": written(
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


def test_the_program_answers_without_peers_prints_counters_and_ends_on_sigterm(tmp_path):
    # Its address still belongs to another for a while, as after a restart.
    lingering = socket.create_server(("127.0.0.1", 0))
    port = lingering.getsockname()[1]
    raw = raw_config(
        listen=f"127.0.0.1:{port}", discovery="127.0.0.1:1", distributor={"address": "127.0.0.1:1"}
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "havendyke", "--config", written(tmp_path, raw)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    try:
        for line in process.stderr:
            if b'"listen_failed"' in line:
                lingering.close()
            if b'"listening"' in line:
                break
        with socket.create_connection(("127.0.0.1", port), timeout=10) as asking:
            asking.sendall(encode("PING"))
            assert asking.recv(100) == encode("PONG")
            process.send_signal(signal.SIGUSR1)
            assert json.loads(process.stdout.readline())["pings"] == 1
            process.send_signal(signal.SIGTERM)
            out, _ = process.communicate(timeout=10)
        assert process.returncode == 0 and json.loads(out)["event"] == "counters"
    finally:
        lingering.close()
        process.kill()


def settings(**parts):
    return SETTINGS | {
        k: SETTINGS.get(k, {}) | v if isinstance(v, dict) else v for k, v in parts.items()
    }


@pytest.mark.parametrize(
    "raw, key",
    [
        *(
            (settings(familyInfo={key: value}), key)
            for key in ("pendingMax", "channelRate", "overhead", "pushDelay", "interval")
            for value in (-1, 1e30, "1", True, 10**40)
        ),
        *(
            (settings(obligations={key: value}), key)
            for key in ("cold", "coldFrom", "overloadFactor")
            for value in (-1, 1e30, [1])
        ),
        *(
            (settings(obligations={"overloadFactor": value}), "overloadFactor")
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
        (settings(weightKind=1), "weightKind"),
        (settings(registryMode="pull"), "registryMode"),
        (settings(localities=["a", "a"]), "localities"),
        (settings(localities=["a", 7]), "localities"),
        (settings(requestClasses=[5]), "requestClasses"),
        (settings(familyInfo={"classOwnZone": [1]}), "classOwnZone"),
        (settings(limits={"connectTimeout": 0}), "connectTimeout"),
    ],
)
def test_an_error_names_the_key_that_is_out_of_bounds(raw, key):
    with pytest.raises(ConfigError, match=key):
        parse_config(json.dumps(raw_config(settings=raw)).encode(), "file", {})


@pytest.mark.parametrize("text", ["NaN", "Infinity", "-Infinity"])
def test_a_number_that_is_not_finite_is_not_json(text):
    raw = json.dumps(raw_config()).replace("4000.0", text).encode()
    with pytest.raises(ConfigError, match="not JSON"):
        parse_config(raw, "file", {})


def test_keys_that_nothing_reads_may_have_any_value():
    odd = settings(obligations={"drainGrace": "soon"}, worthBy=[], prices={"x": None})
    parse_config(
        json.dumps(raw_config(settings=odd, limits={"cores": "many"})).encode(), "file", {}
    )

"""Decoding of discovery's endpoint list."""

from helpers import complete_list, listed_server, make_assigner


def test_a_step_of_the_system_clock_does_not_look_like_a_restart():
    assigner, _ = make_assigner()
    decoder = assigner.messages.endpoint_list
    first = decoder.decode(complete_list("s1")).event.entries[0]
    entry = {"rev": 2, "all": False, "targets": [listed_server("s1", boot_ms=5_500)]}
    started = decoder.decode(entry).event.entries[0].started_ms
    decoder.wall_offset_ms = lambda: 90_000.0
    assert (first.started_ms, started) == (None, 500.0)
    assert decoder.decode(entry).event.entries[0].started_ms == started

"""Discovery's endpoint list, decoded."""

from helpers import complete_list, listed_server, make_assigner


def test_a_step_of_the_system_clock_is_no_restart():
    assigner, _ = make_assigner()
    lists = assigner.peer_codecs.endpoint_list
    first = lists.decode(complete_list("s1")).event.entries[0]
    entry = {"rev": 2, "all": False, "targets": [listed_server("s1", boot_ms=5_500)]}
    started = lists.decode(entry).event.entries[0].started_ms
    lists.wall_offset_ms = lambda: 90_000.0
    assert (first.started_ms, started) == (None, 500.0)
    assert lists.decode(entry).event.entries[0].started_ms == started

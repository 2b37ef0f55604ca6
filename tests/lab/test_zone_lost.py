"""A zone is lost for 5 s and told late, while reports are sparse: none of its servers may fall when they come back cold."""
import pytest
from deployment import deployment
from test_several_controllers import lose_zone, said


@pytest.mark.parametrize("count, seed", [(1, 1), (5, 1), (5, 6), (30, 1)])
def test_no_server_of_a_lost_zone_falls_when_it_comes_back(count, seed):
    # Rescued slices went to other servers of the lost zone that nobody had heard of, and these fell (5 controllers, seeds
    # 1 and 6: 1.17 and 1.09 of what fells them).
    group = deployment(count, seed)
    lose_zone(group, 5000.0, (1000.0, 2000.0))
    group.go(6000.0)
    assert not said(group)
    assert [fall.server for fall in group.falls] == []

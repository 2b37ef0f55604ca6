import pytest
from world import World


@pytest.fixture
def world(tmp_path):
    made = World(tmp_path)
    try:
        yield made
    finally:
        made.close()

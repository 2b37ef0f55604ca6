"""The values drawn from an input do not depend on earlier inputs."""

import copy

from fuzz import draw
from fuzz.targets import settings

UNUSUAL_FLAG = 1
REPLACE, ADD_KEY = 4, 6  # values of the second byte of a step of the target `settings`
OBLIGATIONS = settings.PATHS.index(("settings", "obligations"))
COLD = settings.PATHS.index(("settings", "obligations", "cold"))


def unusual_value_at(index: int):
    return draw.Draw(bytes([UNUSUAL_FLAG, index])).unusual_value()


def test_draws_do_not_share_unusual_values():
    for index, value in enumerate(draw.UNUSUAL_VALUES):
        first, second = unusual_value_at(index), unusual_value_at(index)
        assert first == second == value and type(first) is type(value)
        assert not isinstance(value, (dict, list)) or (first is not second and first is not value)


def test_changes_of_settings_do_not_modify_the_drawn_value():
    before, empty_object = copy.deepcopy(draw.UNUSUAL_VALUES), draw.UNUSUAL_VALUES.index({})
    replacement = bytes([OBLIGATIONS, REPLACE, UNUSUAL_FLAG, empty_object])
    text, changed_paths = settings.change_config(replacement + bytes([COLD, ADD_KEY, 0, 0]))
    assert b'"obligations": {"coldx": 1}' in text and len(changed_paths) == 2
    assert (
        before == draw.UNUSUAL_VALUES
        and b'"obligations": {}' in settings.change_config(replacement)[0]
    )

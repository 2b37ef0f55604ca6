"""What one input is made of does not depend on the inputs before it."""

import copy

from fuzz import draw
from fuzz.targets import settings

ODD_FLAG = 1
REPLACE, ADD_KEY = 4, 6  # what the second byte of a step of the target `settings` does
OBLIGATIONS = settings.PATHS.index(("settings", "obligations"))
COLD = settings.PATHS.index(("settings", "obligations", "cold"))


def odd_at(index: int):
    return draw.Draw(bytes([ODD_FLAG, index])).unusual_value()


def test_no_two_draws_of_an_odd_value_share_it():
    for index, value in enumerate(draw.UNUSUAL_VALUES):
        first, second = odd_at(index), odd_at(index)
        assert first == second == value and type(first) is type(value)
        assert not isinstance(value, (dict, list)) or (first is not second and first is not value)


def test_a_later_change_of_settings_is_not_written_into_the_odd_value_that_was_drawn():
    before, empty_object = copy.deepcopy(draw.UNUSUAL_VALUES), draw.UNUSUAL_VALUES.index({})
    replaced = bytes([OBLIGATIONS, REPLACE, ODD_FLAG, empty_object])
    text, touched = settings.changed(replaced + bytes([COLD, ADD_KEY, 0, 0]))
    assert b'"obligations": {"coldx": 1}' in text and len(touched) == 2
    assert before == draw.UNUSUAL_VALUES and b'"obligations": {}' in settings.changed(replaced)[0]

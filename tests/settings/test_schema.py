"""The keys of the operator's file: their defaults and the page generated from them."""

from pathlib import Path

import pytest

from havendyke.settings import schema
from havendyke.settings.page import render_page

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("key", schema.KEYS, ids=lambda key: key.name)
def test_a_formatted_default_can_be_parsed(key):
    if key.default is not None:
        assert key.parse(key.format_value(key.default)) == key.default


def test_the_operators_page_is_generated_from_the_schema():
    assert (ROOT / "docs" / "operators" / "settings.md").read_text() == render_page()

"""The benchmark of the parsers before and after the faults that fuzzing found."""

from benchmarks import fuzzing


def test_the_parsers_of_the_present_version_are_found():
    # The benchmark compares two versions, whose parsers are not in modules of the same names.
    assert fuzzing.import_parsers("havendyke")

"""`havendyke check`: validates the configuration and the operator's file."""

import os
from collections.abc import Mapping
from typing import Any

import click

from .main import CommandError, json_option, print_result

CONFIG_VARIABLE = "ROUTER_CONFIG"
OPERATOR_VARIABLE = "HAVENDYKE_OPERATOR"


@click.command("check")
@click.option("--config", help="The platform's file; ROUTER_CONFIG by default.")
@click.option("--operator", help="The operator's file; HAVENDYKE_OPERATOR by default.")
@json_option
def command(config: str | None, operator: str | None, as_json: bool) -> None:
    """Read and check the configuration and the operator's file; start nothing."""
    checked: dict[str, Any] = {}
    if config or os.environ.get(CONFIG_VARIABLE):
        checked["config"] = _check_config(config)
    operator = operator or os.environ.get(OPERATOR_VARIABLE)
    if operator:
        checked["operator"] = _check_operator_file(operator)
    if not checked:
        raise CommandError(
            "nothing to check: name --config, --operator, or set ROUTER_CONFIG or "
            "HAVENDYKE_OPERATOR"
        )
    print_result(checked, as_json, _format_result)


def _check_config(path: str | None) -> str:
    """Checks the configuration; returns the name of its assigner."""
    from ..config import ConfigError, load_config

    try:
        return load_config(os.environ, path).name
    except ConfigError as error:
        raise CommandError(str(error)) from None


def _check_operator_file(path: str) -> list[str]:
    """Checks the operator's file; returns its sections."""
    from ..settings import reader

    try:
        return sorted(reader.read(path))
    except reader.OperatorFileError as error:
        raise CommandError(str(error)) from None


def _format_result(checked: Mapping[str, Any]) -> str:
    lines = []
    if "config" in checked:
        lines.append(f"the configuration of {checked['config']} is well")
    if "operator" in checked:
        sections = ", ".join(checked["operator"]) or "nothing"
        lines.append(f"the operator's file is well; it switches on {sections}")
    return "\n".join(lines)

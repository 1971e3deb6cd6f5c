"""`juniperreel statement`: what the MySQL front makes of a text."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NamedTuple

import click

from juniperreel.frontends.mysql.classification import StatementTraits, hint_of, statement_digest
from juniperreel.frontends.mysql.transaction_scope import Action, Plan, TransactionScope
from juniperreel.statements import Classification, classify_statement

NO_MYSQL_STATUS = 2


class MatchedSettings(NamedTuple):
    """What an edge's settings say of a statement, its members' transactions and their schema."""

    class_name: str
    holds_transactions: bool
    database: str


@click.command()
@click.argument("text")
@click.option(
    "--settings",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="An edge's settings: whether its members hold transactions, and which class the text has.",
)
@click.option("--user", default="", help="For lines of the settings that match a user.")
@click.option("--schema", default="", help="For lines of the settings that match a schema.")
def statement(text: str, settings: Path | None, user: str, schema: str) -> None:
    """Say how a statement's TEXT is read, where it may go, and its digest."""
    data = text.encode()
    reading = classify_statement(data)
    print_reading(reading)
    matched = None
    if settings is not None:
        matched = match_settings(settings, data, reading.replica_safe, user, schema)
    scope = (
        TransactionScope(True, "")
        if matched is None
        else TransactionScope(matched.holds_transactions, matched.database)
    )
    plan = scope.plan(reading)
    click.echo(f"in autocommit: {destination(plan, reading)}")
    if matched is not None and plan.action is Action.SINGLE_REQUEST:
        click.echo(f"class: {matched.class_name}")
    click.echo(f"digest: {statement_digest(data) or 'none, it cannot be read'}")


def print_reading(reading: Classification) -> None:
    """Print the statement's kind, what it depends on and whether it commits."""
    reason = f" ({reading.reason})" if reading.reason else ""
    click.echo(f"kind: {reading.kind.value}{reason}")
    if reading.dependencies:
        click.echo(f"depends on: {', '.join(sorted(reading.dependencies))}")
    if reading.implicit_commit:
        click.echo("commits what is open before it runs")


def destination(plan: Plan, reading: Classification) -> str:
    """Who serves the statement outside a transaction, in words."""
    match plan.action:
        case Action.REJECT:
            place = f"refused with {plan.error_code.number}: {plan.error_message}"
        case Action.ACKNOWLEDGE:
            place = "answered by the edge itself"
        case Action.BEGIN_TRANSACTION:
            place = "a primary, and a transaction begins"
        case _:
            place = "any member that satisfies the token" if reading.replica_safe else "a primary"
    if plan.taints_connection:
        place += ", on a connection that nobody gets afterwards"
    return place


def match_settings(file: Path, data: bytes, replica: bool, user: str, schema: str) -> MatchedSettings:
    """Return what the settings say; end the command with 2 if they are bad or have no MySQL frontend."""
    from juniperreel.cli.edge_options import mysql_classes
    from juniperreel.cli.settings_file import read_settings_or_exit

    settings = read_settings_or_exit(file)
    if settings.mysql_frontend is None:
        click.echo(f"{file}: there is no [mysql] section", err=True)
        sys.exit(NO_MYSQL_STATUS)
    classes = mysql_classes(settings)
    traits = StatementTraits(not replica, user, schema, hint_of(data), statement_digest(data))
    index, _ = classes.classify(traits)
    database = settings.mysql_endpoints.database if settings.mysql_endpoints is not None else ""
    return MatchedSettings(
        settings.router.classes[index].name, settings.mysql_endpoints is not None, database
    )

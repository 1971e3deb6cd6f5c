"""`juniperreel statement`: what the MySQL front makes of a text."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from juniperreel.frontends.mysql.classification import StatementTraits, hint_of, statement_digest
from juniperreel.frontends.mysql.transaction_scope import Action, TransactionScope
from juniperreel.statements import classify_statement


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
    able, database = True, ""
    click.echo(f"kind: {reading.kind.value}{f' ({reading.reason})' if reading.reason else ''}")
    if reading.dependencies:
        click.echo(f"depends on: {', '.join(sorted(reading.dependencies))}")
    if reading.implicit_commit:
        click.echo("commits what is open before it runs")
    found = None
    if settings is not None:
        found = classes_of(settings, data, reading.replica_safe, user, schema)
        able, database = found[1:]
    plan = TransactionScope(able, database).plan(reading)
    goes = {
        Action.REJECT: f"refused with {plan.error_code.number}: {plan.error_message}",
        Action.ACKNOWLEDGE: "answered by the edge itself",
        Action.BEGIN_TRANSACTION: "a primary, and a transaction begins",
    }.get(plan.action, "any member that satisfies the token" if reading.replica_safe else "a primary")
    if plan.taints_connection:
        goes += ", on a connection that nobody gets afterwards"
    click.echo(f"in autocommit: {goes}")
    if found is not None and plan.action is Action.SINGLE_REQUEST:
        click.echo(f"class: {found[0]}")
    click.echo(f"digest: {statement_digest(data) or 'none, it cannot be read'}")


def classes_of(file: Path, data: bytes, replica: bool, user: str, schema: str) -> tuple[str, bool, str]:
    """Class by name, whether members hold transactions, their schema."""
    from juniperreel.cli.edge import classes_from
    from juniperreel.cli.main import settings_of

    settings = settings_of(file)
    if settings.mysql_frontend is None:
        click.echo(f"{file}: there is no [mysql] section", err=True)
        sys.exit(2)
    classes = classes_from(settings)
    traits = StatementTraits(not replica, user, schema, hint_of(data), statement_digest(data))
    cls, _ = classes.classify(traits)
    database = settings.mysql_endpoints.database if settings.mysql_endpoints is not None else ""
    return settings.router.classes[cls].name, settings.mysql_endpoints is not None, database

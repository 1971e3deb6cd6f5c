"""`juniperreel statement`: what the MySQL front makes of a text."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from juniperreel.frontends.mysql.classes import digest, hint_of
from juniperreel.frontends.mysql.scope import Do, Scope
from juniperreel.statements import read_statement


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
    reading = read_statement(data)
    able, database = True, ""
    click.echo(f"kind: {reading.kind.value}{f' ({reading.reason})' if reading.reason else ''}")
    if reading.depends:
        click.echo(f"depends on: {', '.join(sorted(reading.depends))}")
    if reading.commits:
        click.echo("commits what is open before it runs")
    found = None
    if settings is not None:
        found = classes_of(settings, data, reading.replica, user, schema)
        able, database = found[1:]
    plan = Scope(able, database).plan(reading)
    goes = {
        Do.REFUSE: f"refused with {plan.code[0]}: {plan.words}",
        Do.NOTHING: "answered by the edge itself",
        Do.BEGIN: "a primary, and a transaction begins",
    }.get(plan.do, "any member that satisfies the token" if reading.replica else "a primary")
    if plan.taint:
        goes += ", on a connection that nobody gets afterwards"
    click.echo(f"in autocommit: {goes}")
    if found is not None and plan.do is Do.ALONE:
        click.echo(f"class: {found[0]}")
    click.echo(f"digest: {digest(data) or 'none, it cannot be read'}")


def classes_of(file: Path, data: bytes, replica: bool, user: str, schema: str) -> tuple[str, bool, str]:
    """Class by name, whether members hold transactions, their schema."""
    from juniperreel.cli.edge_options import mysql_classes
    from juniperreel.cli.settings_file import read_settings_or_exit

    settings = read_settings_or_exit(file)
    if settings.mysql is None:
        click.echo(f"{file}: there is no [mysql] section", err=True)
        sys.exit(2)
    classes = mysql_classes(settings)
    cls, _ = classes.of(not replica, user, schema, hint_of(data), digest(data))
    database = settings.members.database if settings.members is not None else ""
    return settings.router.classes[cls].name, settings.members is not None, database

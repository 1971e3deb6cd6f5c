"""`juniperreel statement`: shows how the MySQL frontend classifies and routes a statement."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NamedTuple

import click

from juniperreel.frontends.mysql.classification import StatementTraits, hint_of, statement_digest
from juniperreel.frontends.mysql.transaction_scope import Action, Plan, TransactionScope
from juniperreel.statements import Classification, classify_statement

NO_MYSQL_SECTION_STATUS = 2


class MatchedSettings(NamedTuple):
    """A statement's class by an edge's settings, and what they say of its endpoints."""

    class_name: str
    holds_transactions: bool
    database: str


@click.command()
@click.argument("text")
@click.option(
    "--settings",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Settings of an edge, which determine the class and whether endpoints support transactions.",
)
@click.option("--user", default="", help="User name to evaluate the `match` lines of the settings with.")
@click.option("--schema", default="", help="Schema to evaluate the `match` lines of the settings with.")
def statement(text: str, settings: Path | None, user: str, schema: str) -> None:
    """Print how a statement's TEXT is classified, where it is routed, and its digest."""
    data = text.encode()
    classification = classify_statement(data)
    print_classification(classification)
    matched = None
    if settings is not None:
        matched = match_settings(settings, data, classification.replica_safe, user, schema)
    scope = (
        TransactionScope(True, "")
        if matched is None
        else TransactionScope(matched.holds_transactions, matched.database)
    )
    plan = scope.plan(classification)
    click.echo(f"in autocommit: {destination(plan, classification)}")
    if matched is not None and plan.action is Action.SINGLE_REQUEST:
        click.echo(f"class: {matched.class_name}")
    click.echo(f"digest: {statement_digest(data) or 'none, it cannot be read'}")


def print_classification(classification: Classification) -> None:
    """Print a statement's kind, its dependencies and whether it commits implicitly."""
    reason = f" ({classification.reason})" if classification.reason else ""
    click.echo(f"kind: {classification.kind.value}{reason}")
    if classification.dependencies:
        click.echo(f"depends on: {', '.join(sorted(classification.dependencies))}")
    if classification.implicit_commit:
        click.echo("commits what is open before it runs")


def destination(plan: Plan, classification: Classification) -> str:
    """Describe where the statement is routed outside a transaction."""
    match plan.action:
        case Action.REJECT:
            description = f"refused with {plan.error_code.number}: {plan.error_message}"
        case Action.ACKNOWLEDGE:
            description = "answered by the edge itself"
        case Action.BEGIN_TRANSACTION:
            description = "a primary, and a transaction begins"
        case _:
            description = (
                "any member that satisfies the token" if classification.replica_safe else "a primary"
            )
    if plan.taints_connection:
        description += ", on a connection that nobody gets afterwards"
    return description


def match_settings(file: Path, data: bytes, replica_safe: bool, user: str, schema: str) -> MatchedSettings:
    """Match a statement against an edge's settings.

    Exits with status 2 if the settings are invalid or have no MySQL frontend.
    """
    from juniperreel.cli.edge_options import request_classifier
    from juniperreel.cli.settings_file import read_settings_or_exit

    settings = read_settings_or_exit(file)
    if settings.mysql_frontend is None:
        click.echo(f"{file}: there is no [mysql] section", err=True)
        sys.exit(NO_MYSQL_SECTION_STATUS)
    classifier = request_classifier(settings)
    traits = StatementTraits(not replica_safe, user, schema, hint_of(data), statement_digest(data))
    class_index, _ = classifier.classify(traits)
    database = settings.mysql_endpoints.database if settings.mysql_endpoints is not None else ""
    return MatchedSettings(
        settings.router.classes[class_index].name, settings.mysql_endpoints is not None, database
    )

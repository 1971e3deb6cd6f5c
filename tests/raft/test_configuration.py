"""Configuration versions and commands: deterministic, validated, and applied once."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.raft.configuration import model, state_machine, validation
from juniperreel.raft.configuration.commands import (
    Command,
    ConfigurationChange,
    RemoveGroup,
    RemoveMember,
    SetClass,
    SetGroup,
    SetLimit,
    SetMember,
    SetState,
    SetTenant,
    encode_command,
)
from juniperreel.raft.configuration.model import ClassInfo, GroupInfo, MemberInfo, TenantInfo
from juniperreel.raft.configuration.state_machine import ConfigurationStateMachine
from juniperreel.raft.errors import MalformedDataError

MEMBER = MemberInfo(0, "127.0.0.1", 1000)
READ = ClassInfo("repeatable", "all", 0, "bounded", 300_000, 500_000, 2_000_000, 3.0, 0.2)
WRITE = ClassInfo("keyed", "group", 5_000_000, "write", 0, 500_000, 2_000_000, 4.0, 0.7)

names = st.sampled_from(["a", "b", "c"])
groups = st.integers(0, 2)
changes = st.one_of(
    st.builds(SetMember, names, st.builds(MemberInfo, groups, st.just("h"), st.integers(0, 3))),
    st.builds(SetState, names, st.sampled_from(["up", "draining", "gone", "odd"]), st.integers(0, 9)),
    st.builds(RemoveMember, names),
    st.builds(SetGroup, groups, st.builds(GroupInfo, st.integers(0, 4), st.none() | names)),
    st.builds(RemoveGroup, groups),
    st.builds(SetClass, names, st.none() | st.sampled_from([READ, WRITE])),
    st.builds(SetTenant, names, st.none() | st.builds(TenantInfo, st.floats(0, 0.6))),
    st.builds(SetLimit, st.sampled_from([*validation.LIMITS, "odd"]), st.none() | st.integers(-1, 5)),
)
commands = st.builds(
    Command,
    st.sampled_from(["x", "y"]),
    st.integers(0, 20),
    st.lists(changes, min_size=1, max_size=4),
    st.none(),
)


def seeded_machine() -> ConfigurationStateMachine:
    machine = ConfigurationStateMachine()
    outcome = machine.apply(
        encode_command(
            Command(
                "seed", 1, [SetGroup(0, GroupInfo(1, "a")), SetMember("a", MEMBER), SetMember("b", MEMBER)]
            )
        )
    )
    assert not outcome.rejection
    return machine


def rejection_of(*changes: ConfigurationChange) -> str:
    machine = seeded_machine()
    before = machine.current.version
    outcome = machine.apply(encode_command(Command("t", 1, list(changes))))
    assert outcome.version == before + (not outcome.rejection)
    return outcome.rejection


@given(st.lists(commands, max_size=30))
def test_state_machines_after_the_same_commands_agree_and_hold_valid_versions(
    command_list: list[Command],
) -> None:
    first, second = seeded_machine(), seeded_machine()
    for command in command_list:
        before = first.current
        outcome = first.apply(encode_command(command))
        assert second.apply(encode_command(command)) == outcome
        assert validation.find_violations(first.current) == []
        assert first.current.version in (before.version, before.version + 1)
        if first.current.version > before.version:
            assert validation.find_transition_violations(before, first.current) == []
            patched = model.apply_delta(before, model.encode_delta(before, first.current))
            assert patched.members == first.current.members
    assert first.snapshot() == second.snapshot()
    restored = ConfigurationStateMachine()
    restored.restore(first.snapshot())
    assert restored.current == first.current
    assert restored.snapshot() == first.snapshot()


@given(commands)
def test_command_applied_twice_changes_the_state_once(command: Command) -> None:
    machine = seeded_machine()
    first = machine.apply(encode_command(command))
    state = machine.snapshot()
    assert machine.apply(encode_command(command)) == first
    assert machine.snapshot() == state


def test_command_with_an_older_sequence_is_rejected_and_sessions_are_bounded() -> None:
    machine = seeded_machine()
    machine.apply(encode_command(Command("x", 5, [SetLimit("attempts", 2)])))
    assert (
        "older than 5" in machine.apply(encode_command(Command("x", 4, [SetLimit("attempts", 3)]))).rejection
    )
    for n in range(state_machine.MAX_CLIENTS + 20):
        machine.apply(encode_command(Command(f"c{n}", 1, [SetLimit("attempts", 1 + n)])))
    assert len(machine.current.clients) == state_machine.MAX_CLIENTS


@pytest.mark.parametrize(
    ("command_list", "reason"),
    [
        ([SetGroup(0, GroupInfo(0, "a"))], "older"),
        ([SetGroup(0, GroupInfo(1, "b"))], "newer epoch"),
        ([SetGroup(0, GroupInfo(2, "none"))], "not one of its members"),
        ([SetState("a", "gone")], "primary a is gone"),
        ([SetState("a", "odd")], "none of"),
        ([RemoveMember("b")], "drain and go"),
        ([RemoveMember("none")], "no member none"),
        ([RemoveGroup(0)], "there is no group 0"),
        ([SetMember("c", MemberInfo(7, "h", 1))], "no group 7"),
        ([SetMember("c", MemberInfo(0, "h", 0))], "out of range"),
        ([SetClass("k", msgspec.structs.replace(WRITE, key_retention_us=0))], "rule 2"),
        ([SetClass("k", msgspec.structs.replace(WRITE, consistency="any"))], "rule 2"),
        ([SetClass("k", msgspec.structs.replace(READ, lag_us=0))], "rule 5"),
        ([SetClass("k", msgspec.structs.replace(READ, latency_objective_us=9_000_000))], "rule 1"),
        ([SetLimit("drain-grace-us", 0)], "rule 3"),
        ([SetLimit("cold-span-us", 0)], "rule 4"),
        ([SetLimit("flavour", 1)], "there are"),
        ([SetTenant("t", TenantInfo(0.7)), SetTenant("u", TenantInfo(0.7))], "more than all"),
    ],
    ids=lambda v: v if isinstance(v, str) else "",
)
def test_command_with_one_invalid_change_is_rejected_as_a_whole(
    command_list: list[ConfigurationChange], reason: str
) -> None:
    assert reason in rejection_of(SetLimit("attempts", 4), *command_list)


def test_promotion_and_drain_in_one_command_are_accepted() -> None:
    assert not rejection_of(SetGroup(0, GroupInfo(2, "b")), SetState("a", "draining"))
    # A single command with both changes would skip the drain.
    assert "drain and go" in rejection_of(SetState("b", "gone"), RemoveMember("b"))


def test_member_that_comes_back_without_a_newer_start_is_rejected() -> None:
    machine = seeded_machine()
    machine.apply(encode_command(Command("t", 1, [SetState("b", "gone", 5)])))
    assert "rule 4" in machine.apply(encode_command(Command("t", 2, [SetState("b", "up", 5)]))).rejection
    assert not machine.apply(encode_command(Command("t", 3, [SetState("b", "up", 6)]))).rejection


@given(st.binary(max_size=200))
def test_decoding_of_random_bytes_raises_and_changes_nothing(payload: bytes) -> None:
    machine = seeded_machine()
    state = machine.snapshot()
    assert machine.apply(payload).rejection
    assert machine.snapshot() == state
    for read in (model.decode, lambda data: model.apply_delta(machine.current, data)):
        with pytest.raises(MalformedDataError):
            read(payload)


def test_decoding_of_another_format_or_a_gap_raises() -> None:
    machine = seeded_machine()
    fields = msgspec.msgpack.decode(machine.snapshot())
    with pytest.raises(ValueError, match="format 9"):
        model.decode(msgspec.msgpack.encode(fields | {"format": 9}))
    with pytest.raises(ValueError, match="does not fit"):
        model.apply_delta(machine.current, model.encode_delta(model.EMPTY, machine.current))


def test_new_version_shares_unchanged_sections_with_the_old_one() -> None:
    machine = seeded_machine()
    before = machine.current
    machine.apply(encode_command(Command("t", 1, [SetLimit("attempts", 4)])))
    assert machine.current.members is before.members
    assert machine.current.limits is not before.limits

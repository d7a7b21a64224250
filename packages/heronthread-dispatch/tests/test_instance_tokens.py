"""The fencing token of each executor id."""

from heronthread_dispatch.instance_tokens import InstanceTokens
from heronthread_dispatch.model import ExecutorInstance


def test_token_is_the_number_of_the_term_until_one_is_assigned() -> None:
    tokens = InstanceTokens(7)
    tokens.assign(ExecutorInstance("e0", 2), 9)
    assert (tokens.find("e0"), tokens.find("e1")) == (9, 7)


def test_token_is_assigned_to_one_instance() -> None:
    tokens = InstanceTokens(7)
    assert not tokens.is_assigned(ExecutorInstance("e0", 2))
    tokens.assign(ExecutorInstance("e0", 2), 8)
    assert tokens.is_assigned(ExecutorInstance("e0", 2))
    assert not tokens.is_assigned(ExecutorInstance("e0", 3))


def test_token_below_the_assigned_one_is_outdated() -> None:
    tokens = InstanceTokens(7)
    assert not tokens.is_outdated("e0", 7)
    tokens.assign(ExecutorInstance("e0", 2), 8)
    assert tokens.is_outdated("e0", 7)
    assert not tokens.is_outdated("e0", 8)

"""Guards against client accounts that are admitted wrongly, or lost, by a faulty document."""

import json

import pytest

from anviltray.declarations import ClientAccount
from anviltray.platform import DocumentInvalid, decode_configuration
from anviltray.platform.tests.documents import configuration

INF, NAN = float("inf"), float("nan")


def account(**changes):
    """Returns an entry of the document."""
    return {"name": "a", "apiKeys": ["k3y-a"], "priority": 1, "ratePerS": 9, "burst": 5} | changes


def decode(items):
    return decode_configuration(configuration(tenants=items))


def test_accounts():
    items = [account(), {"name": "b", "apiKeys": ["k1", "k2"], "ratePerS": 0.5}, {"name": "c"}]
    assert decode(items).accounts == {
        "a": ClientAccount("a", ("k3y-a",), 1, 9.0, 5.0),
        "b": ClientAccount("b", ("k1", "k2"), None, 0.5, 0.0),
        "c": ClientAccount("c", (), None, 0.0, 0.0),
    }


def test_document_without_accounts_differs_from_one_with_none():
    assert decode_configuration(configuration()).accounts is None
    assert decode([]).accounts == {}


@pytest.mark.parametrize(
    ("items", "keys", "omissions"),
    [
        ([account(apiKeys=["", "k1"])], {"a": ("k1",)}, 1),
        ([account(apiKeys=[""]), account(name="b", apiKeys=[""])], {"a": (), "b": ()}, 1),
        ([account(apiKeys=[7, None, ["k"], "k1"])], {"a": ("k1",)}, 1),
        ([account(apiKeys=["k 1", "k\n1", "k\u00e9", "\ud800", "k1"])], {"a": ("k1",)}, 1),
        ([account(apiKeys=["k1", "k1"])], {"a": ("k1",)}, 0),
        ([None, 7, {}, account()], {"a": ("k3y-a",)}, 1),
        ([None, account(apiKeys=[""])], {"a": ()}, 2),
    ],
)
def test_what_identifies_nobody_is_left_out(items, keys, omissions):
    decoded = decode(items)
    assert {name: each.keys for name, each in decoded.accounts.items()} == keys
    assert len(decoded.omissions) == omissions


@pytest.mark.parametrize(
    "items",
    [
        None,
        {},
        "a",
        {"a": account()},
        [account(), account(name="b")],  # They share a key.
        [account(), account(apiKeys=["k2"])],  # They share a name.
        *(
            [account(**{field: value})]
            for field, values in {
                "name": ("", None, 7, " a", "a\r\nTenant: b", "\ud800", "a" * 257),
                "apiKeys": (None, "k3y-a", {"k3y-a": 1}),
                "priority": ("1", 1.0, True, NAN, -1, 10**400),
                "ratePerS": (-1, -0.1, NAN, INF, -INF, 10**400, None, "9", True),
                "burst": (-1, NAN, INF, 10**400, None, [], False),
            }.items()
            for value in values
        ),
        [account(name=f"a{number}", apiKeys=[]) for number in range(400_001)],
    ],
    ids=lambda items: json.dumps(items)[:40],
)
def test_what_could_change_who_is_admitted_makes_the_document_invalid(items):
    with pytest.raises(DocumentInvalid) as error:
        decode(items)
    assert "k3y" not in str(error.value)
    assert len(str(error.value)) < 400


@pytest.mark.parametrize("value", ["false", "true", 0, 1, None, []])
def test_route_is_public_only_by_a_flag(value):
    document = json.loads(configuration())
    document["routes"][0]["public"] = value
    with pytest.raises(DocumentInvalid):
        decode_configuration(json.dumps(document).encode())
    document["routes"][0]["public"] = True
    assert [each.public for each in decode_configuration(json.dumps(document).encode()).routes] == [
        True,
        False,
    ]

"""Guards against keys that find the wrong account, outlive their withdrawal or become visible.

Replays configurations of a deployment whose accounts and keys change, against a plain dictionary.
"""

import random

import pytest

from anviltray.decisions.accounts import AccountIndex, AccountIndexer, KeyFault, read_credentials
from anviltray.declarations import ClientAccount

SECRET = bytes(range(32))


def account(name, *keys, rate_per_s=0.0):
    return ClientAccount(name, keys, None, rate_per_s, 0.0)


def indexed(accounts, previous=None, step=1000):
    indexer = AccountIndexer(
        {each.name: each for each in accounts}, previous or AccountIndex(SECRET)
    )
    while not indexer.step(step):
        pass
    return indexer


@pytest.mark.parametrize("seed", range(20))
def test_index_agrees_with_each_version(seed):
    """Keys come, go and move between accounts; a version takes over digests of the one before."""
    rng = random.Random(seed)
    index, keys = AccountIndex(SECRET), [f"key-{number}" for number in range(60)]
    for _ in range(12):
        shuffled = rng.sample(keys, rng.randrange(len(keys)))
        owners = {key: f"a{rng.randrange(20)}" for key in shuffled}
        accounts = [
            account(
                name, *(key for key in shuffled if owners[key] == name), rate_per_s=rng.random()
            )
            for name in sorted(set(owners.values()))
        ]
        before = {key: index.find(key) for key in keys}
        previous, index = index, indexed(accounts, index, step=rng.randrange(1, 9)).index
        by_name = {each.name: each for each in accounts}
        for key in keys:
            assert index.find(key) == by_name.get(owners.get(key))
            assert previous.find(key) == before[key]
        assert len(index) == len(accounts)


def test_only_changed_accounts_are_digested_again():
    accounts = [account(f"a{number}", f"k{number}", f"l{number}") for number in range(2000)]
    first = indexed(accounts)
    accounts[7] = account("a7", "k7", "new")
    accounts[8] = account("a8", "k8", "l8", rate_per_s=5.0)
    second = indexed(accounts, first.index)
    assert (first.digested, second.digested) == (4000, 2)
    assert second.index.find("l7") is None
    assert second.index.find("l8").rate_per_s == 5.0


def test_keys_are_kept_as_digests_under_the_secret_of_the_process():
    one, other = (
        AccountIndexer({"a": account("a", "k")}, AccountIndex(secret)) for secret in (b"1", b"2")
    )
    assert one.step(2)
    assert other.step(2)
    assert one.index._names.keys() != other.index._names.keys()
    assert b"k" not in one.index._names
    assert one.index.find("k") == other.index.find("k") == account("a", "k")


@pytest.mark.parametrize("guess", ["", "k", "key-10", "KEY-1", "key-1 ", "key-1\0", "\udcff", "é"])
def test_similar_keys_are_unknown(guess):
    assert indexed([account("a", "key-1")]).index.find(guess) is None


@pytest.mark.parametrize(
    ("values", "key", "fault"),
    [
        (["Bearer k-1"], "k-1", None),
        (["bearer k-1"], "k-1", None),
        (["BEARER   a+b/c=="], "a+b/c==", None),
        ([" Bearer k-1\t"], "k-1", None),
        ([], "", KeyFault.MISSING),
        (["Bearer k-1", "Bearer k-1"], "", KeyFault.SEVERAL),
        (["Bearer k-1", "Basic eA=="], "", KeyFault.SEVERAL),
        ([""], "", KeyFault.MALFORMED),
        (["Bearer"], "", KeyFault.MALFORMED),
        (["Bearer "], "", KeyFault.MALFORMED),
        (["k-1"], "", KeyFault.MALFORMED),
        (["Bearerk-1"], "", KeyFault.MALFORMED),
        (["Basic k-1"], "", KeyFault.MALFORMED),
        (["Bearer k-1 k-2"], "", KeyFault.MALFORMED),
        (["Bearer k-1, Bearer k-2"], "", KeyFault.MALFORMED),
        (["Bearer k\u00e9"], "", KeyFault.MALFORMED),
        (["Bearer\tk-1"], "", KeyFault.MALFORMED),
    ],
)
def test_credentials(values, key, fault):
    credentials = read_credentials(values)
    assert (credentials.key, credentials.fault) == (key, fault)


def test_representations_contain_no_key():
    shown = repr([account("a", "s3cret"), read_credentials(["Bearer s3cret"])])
    assert "s3cret" not in shown

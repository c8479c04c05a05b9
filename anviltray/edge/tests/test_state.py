"""Guards against a shortage in which large client accounts get no more than small ones."""

import asyncio
import random

import pytest

from anviltray.declarations import ClientAccount
from anviltray.edge._state import EdgeState
from anviltray.edge.tests.support import Fleet, configuration
from anviltray.platform import decode_configuration


def account(name, rate_per_s):
    return ClientAccount(name, (f"key-{name}",), None, rate_per_s, rate_per_s)


@pytest.mark.parametrize(
    ("rates_s", "weights"),
    [
        ({"large": 90.0, "small": 10.0}, {"large": 90.0, "small": 10.0}),
        # Accounts without a limit, and requests without an account, count like an average one.
        ({"large": 90.0, "small": 10.0, "free": 0.0}, {"free": 50.0, "": 50.0, "small": 10.0}),
        ({"free": 0.0, "other": 0.0}, {"free": 1.0, "other": 1.0, "": 1.0}),
        (None, {"": 1.0}),
    ],
)
def test_accounts_are_owed_by_their_allotted_rates(tmp_path, rates_s, weights):
    async def found():
        settings = Fleet(tmp_path, []).settings(1)
        state = EdgeState(settings, _Connections(), random.Random(1))
        accounts = rates_s and {name: account(name, rate_s) for name, rate_s in rates_s.items()}
        state.configure(decode_configuration(configuration())._replace(accounts=accounts))
        return {name: state.account_weight(name) for name in weights}

    assert asyncio.run(found()) == weights


class _Connections:
    def set_node_count(self, nodes, limit):
        pass

"""Guards against declarations that are parsed wrongly and plans that omit a change."""

import pytest
import yaml

from anviltray.declarations import as_document, difference, load_declarations, parse_declarations
from anviltray.schema import DocumentError

UPSTREAM = {"address": "10.0.0.1:80", "region": "viti", "zone": "viti-a", "slots": 6}
SERVICE = {"name": "s", "upstreams": [UPSTREAM], "routes": [{"prefix": "/s"}]}


def parse(*services):
    return parse_declarations({"services": list(services)}, "test").services


def test_document_round_trip(tmp_path):
    (service,) = parse(SERVICE)
    path = tmp_path / "services.yaml"
    path.write_text(yaml.safe_dump({"services": [as_document(service)]}), encoding="utf-8")
    assert load_declarations([path]).services == (service,)


@pytest.mark.parametrize(
    ("services", "text"),
    [
        ([SERVICE, SERVICE], "declared twice"),
        ([SERVICE, SERVICE | {"name": "t"}], "10.0.0.1:80 is declared twice"),
        ([SERVICE | {"floor_share": 1.5}], "floor_share"),
        ([SERVICE | {"upstreams": [UPSTREAM | {"slots": 0}]}], "slots"),
        ([SERVICE | {"sensitivity": "high"}], "sensitivity"),
    ],
)
def test_invalid_declarations(services, text):
    with pytest.raises(DocumentError, match=text):
        parse(*services)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({}, []),
        ({"floor_slots": 4}, [("s", "floor_slots", "0", "4")]),
        (
            {"upstreams": []},
            [
                (
                    "s",
                    "upstream 10.0.0.1:80",
                    "region=viti zone=viti-a slots=6 state=active",
                    "",
                )
            ],
        ),
        (
            {"routes": [{"prefix": "/t"}]},
            [("s", "route /s", "present", ""), ("s", "route /t", "", "present")],
        ),
        (
            {"retry_rules": [{"methods": ["GET"], "prefix": "/"}]},
            [("s", "retry rule GET /", "", "attempts=2 hedge=False")],
        ),
        ({"name": "t"}, [("s", "", "service", ""), ("t", "", "", "new service")]),
    ],
)
def test_difference(change, expected):
    (old,) = parse(SERVICE)
    assert list(difference({"s": old}, parse(SERVICE | change))) == expected

"""Guards against a node that runs with invalid settings."""

import pytest
import yaml

from anviltray.schema import DocumentError
from anviltray.settings import load_settings

VALID = {
    "node": "n1",
    "region": "viti",
    "zone": "viti-a",
    "caller_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "operator_address": "127.0.0.1:8082",
    "platform": {"kind": "memory"},
}


def write(tmp_path, data):
    path = tmp_path / "node.yaml"
    path.write_text(data if isinstance(data, str) else yaml.safe_dump(data), encoding="utf-8")
    return path


def test_defaults_are_filled_in(tmp_path):
    settings = load_settings(write(tmp_path, VALID))
    assert settings.callers.answer_lifetime_s == 30.0
    assert settings.platform.poll_interval_s == 0.5


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"colour": 1}, ["unknown key 'colour'", "caller_address"]),
        ({"callers": {"answer_lifetime_ms": 5}}, ["callers", "answer_lifetime_ms"]),
        ({"callers": {"answer_lifetime_s": "5 s"}}, ["callers.answer_lifetime_s", "'5 s'"]),
        ({"callers": {"answer_lifetime_s": 0}}, ["callers.answer_lifetime_s", "0"]),
        ({"caller_address": "localhost:80"}, ["caller_address", "localhost:80", "IP address"]),
        ({"caller_address": "127.0.0.1:99999"}, ["caller_address", "99999"]),
        ({"caller_address": "127.0.0.1"}, ["caller_address", "127.0.0.1"]),
        ({"node": "N 1"}, ["node", "'N 1'"]),
        ({"platform": {"kind": "postgres"}}, ["platform.kind", "postgres", "http"]),
        ({"platform": {"kind": "http"}}, ["platform.url"]),
        ({"peer_key_file": "/nonexistent/key"}, ["peer_key_file", "/nonexistent/key"]),
        ({"region": None}, ["region", "None"]),
    ],
)
def test_invalid_settings_give_one_line(tmp_path, change, words):
    path = write(tmp_path, VALID | change)
    with pytest.raises(DocumentError) as caught:
        load_settings(path)
    message = str(caught.value)
    assert message.startswith(str(path)) and "\n" not in message
    for word in words:
        assert word in message


@pytest.mark.parametrize("text", ["node: [", "", "- a", "\x00"])
def test_unreadable_files_give_one_line(tmp_path, text):
    with pytest.raises(DocumentError) as caught:
        load_settings(write(tmp_path, text))
    assert "\n" not in str(caught.value)

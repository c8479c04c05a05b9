"""Guards against addresses that pass a check and then fail where they are used."""

import ipaddress

import pytest
from yarl import URL

from anviltray.schema import is_endpoint


@pytest.mark.parametrize(
    ("text", "ip", "port"),
    [
        ("10.0.0.1:80", "10.0.0.1", 80),
        ("127.0.0.9:65535", "127.0.0.9", 65535),
        ("10.0.0.1:08080", "10.0.0.1", 8080),
        ("[::1]:1", "::1", 1),
        ("[2001:DB8::5]:8144", "2001:DB8::5", 8144),
        ("[::ffff:10.0.0.1]:80", "::ffff:10.0.0.1", 80),
    ],
)
def test_endpoint(text, ip, port):
    assert is_endpoint(text)
    url = URL(f"http://{text}/")
    assert (ipaddress.ip_address(url.raw_host), url.port) == (ipaddress.ip_address(ip), port)


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":",
        ":80",
        "80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:+80",
        "10.0.0.1:8_0",
        "10.0.0.1:\u00b2",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1 :80",
        " 10.0.0.1:80",
        "10.0.0.1:80 ",
        "10.0.0.1:80\n",
        "10.0.0:80",
        "0x7f.0.0.1:80",
        "256.0.0.1:80",
        "host.example:80",
        "user@10.0.0.1:80",
        "::1:8144",
        "[::1:8144",
        "::1]:8144",
        "[[::1]]:8144",
        "[::1]8144",
        "[::1]:",
        "[]:80",
        "[10.0.0.1]:80",
        "[fe80::1%eth0]:80",
        "[fe80::1%25eth0]:80",
        "\ud800:80",
    ],
)
def test_no_endpoint(text):
    assert not is_endpoint(text)

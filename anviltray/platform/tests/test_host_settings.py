"""Guards against a host that starts with misread or invalid settings."""

import pytest

from anviltray.platform import HostSettingsError, load_host_settings

TEXT = """
nodeName = "edge-viti-suva-1"
ip = "10.1.0.35"
zone = "viti-suva"
region = "viti"
internalPorts = [7660, 7675]
seeds = ["10.1.0.35:8146", "10.2.0.28:8146"]
heartbeatMs = 1500
bounds = ["drainMs=2000", "graceS=6", "configApplyMs=2000", "retryBudgetRatio=0.2",
  "budgetWindowS=10", "retryBudgetSlack=64", "ttl_max_s=5", "new=true"]
unknown = 1
[zones]
viti-suva = "viti"
[listen]
front = "10.1.0.35:8144"
readiness = "10.1.0.35:8140"
directory = "10.1.0.35:8143"
[provider]
address = "10.200.1.7:8142"
"""


def test_settings(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(TEXT)
    settings = load_host_settings(path)
    assert settings.caller_address == "10.1.0.35:8144"
    assert settings.seed_addresses == ("10.1.0.35", "10.2.0.28")
    assert settings.first_internal_port == 7660
    assert settings.heartbeat_s == 1.5
    assert not settings.first_start
    guarantees = settings.guarantees
    assert (guarantees.drain_s, guarantees.grace_s, guarantees.retry_share) == (2.0, 6.0, 0.2)


@pytest.mark.parametrize(("line", "expected"), [("bootstrap = true", True), ("", False)])
def test_first_start_of_the_fleet_is_read(tmp_path, line, expected):
    path = tmp_path / "node.toml"
    path.write_text(line + TEXT)
    assert load_host_settings(path).first_start is expected


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        ("", (5.0, 0.1, 0.0)),
        ('"quotaSlack=20",', (5.0, 0.1, 20.0)),
        ('"quotaWindowS=3", "quotaOvershoot=0.25", "quotaSlack=0",', (3.0, 0.25, 0.0)),
    ],
)
def test_bounds_on_allotted_rates_are_optional(tmp_path, bounds, expected):
    path = tmp_path / "node.toml"
    path.write_text(TEXT.replace('"new=true"', bounds + '"new=true"'))
    guarantees = load_host_settings(path).guarantees
    assert expected == (
        guarantees.allotment_window_s,
        guarantees.allotment_overshoot,
        guarantees.allotment_slack,
    )


@pytest.mark.parametrize(
    ("section", "expected_bytes"),
    [
        ("", 300_000_000),
        ("[limits]\nmemoryMb = 128", 128_000_000),
        ("[limits]\nmemoryMb = 0", 300_000_000),
        ("[limits]\ncores = 1", 300_000_000),
    ],
)
def test_memory_limit_is_read(tmp_path, section, expected_bytes):
    path = tmp_path / "node.toml"
    path.write_text(TEXT + section)
    assert load_host_settings(path).memory_limit_bytes == expected_bytes


@pytest.mark.parametrize(
    ("section", "expected"),
    [("", 1.0), ("[limits]\ncpuShare = 0.43", 0.43), ("[limits]\ncpuShare = 0", 1.0)],
)
def test_processor_share_is_read(tmp_path, section, expected):
    path = tmp_path / "node.toml"
    path.write_text(TEXT + section)
    assert load_host_settings(path).processor_share == expected


@pytest.mark.parametrize(
    ("section", "expected"),
    [("", 4100), ("[limits]\nmaxFds = 700", 700), ("[limits]\nmaxFds = 0", 4100)],
)
def test_descriptor_limit_is_read(tmp_path, section, expected):
    path = tmp_path / "host.toml"
    path.write_text(TEXT + section)
    assert load_host_settings(path).descriptor_limit == expected


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('ip = "10.1.0.35"', "", "ip"),
        ('zone = "viti-suva"', "zone = 7", "zone"),
        ('front = "10.1.0.35:8144"', "", "front"),
        ('front = "10.1.0.35:8144"', 'front = "8144"', "front"),
        ("internalPorts = [7660, 7675]", "internalPorts = []", "index"),
        ("drainMs=2000", "drainMs=soon", "drainMs"),
        ("drainMs=2000", "drainMs=-1", "drainMs"),
        ("drainMs=2000", "drainMs=nan", "drainMs"),
        ("new=true", "quotaWindowS=0", "quotaWindowS"),
        ("new=true", "quotaOvershoot=-0.1", "quotaOvershoot"),
        ("new=true", "quotaSlack=inf", "quotaSlack"),
        ('"graceS=6",', "", "graceS"),
        ("[provider]", "[other]", "provider"),
        ("heartbeatMs = 1500", "heartbeatMs = ", ""),
    ],
)
def test_error_names_the_file_and_the_key(tmp_path, old, new, named):
    path = tmp_path / "node.toml"
    path.write_text(TEXT.replace(old, new))
    with pytest.raises(HostSettingsError) as error:
        load_host_settings(path)
    assert str(path) in str(error.value)
    assert named in str(error.value)


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(HostSettingsError):
        load_host_settings(tmp_path / "none.toml")

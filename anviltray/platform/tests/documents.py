"""Builders of store documents for tests, in the format of the platform."""

import json


def registration(**changes):
    """Returns the record of an instance.

    `changes` sets fields, or with `REMOVED` removes them; nested names are joined by `__`.
    """
    document = {
        "address": "10.128.0.9:8080",
        "born": 1790937302000,
        "info": {"service": "keeper", "version": "v1", "zone": "viti-suva", "slots": 6},
        "status": {"state": "ready", "sequence": 4, "warmupLeftMs": 0},
    }
    return _encode_changed(document, changes)


def configuration(**changes):
    """Returns the record of a configuration with two routes; see `registration`."""
    document = {
        "version": "r7",
        "routes": [
            {
                "name": "r-1",
                "host": "Ficu95.example",
                "pathPrefix": "/level/",
                "kind": "safe",
                "timeoutMs": 3000,
                "targetLatencyMs": 1200,
                "priority": 2,
                "weightedServices": [
                    {"service": "keeper", "weight": 90},
                    {"service": "supply", "weight": 10},
                ],
                "maxAttempts": 2,
            },
            {
                "name": "r-2",
                "host": "ficu95.example",
                "pathPrefix": "/order/",
                "kind": "unsafe",
                "timeoutMs": 4000,
                "targetLatencyMs": 1200,
                "priority": 1,
                "service": "keeper",
                "maxAttempts": 2,
            },
        ],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": False}
            for name in ("keeper", "supply")
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return _encode_changed(document, changes)


REMOVED = object()


def _encode_changed(document, changes):
    for path, value in changes.items():
        *parents, name = path.split("__")
        item = document
        for parent in parents:
            item = item[parent]
        if value is REMOVED:
            del item[name]
        else:
            item[name] = value
    return json.dumps(document).encode()

"""Selection of the retry rule of a request."""

from anviltray.declarations import RetryRule, Service


def rule_for(service: Service, method: str, path: str) -> RetryRule | None:
    """Returns the rule with the longest matching prefix, or None if the request is unrepeatable.

    Prefixes match whole segments of the path without its query. A path that an upstream may
    interpret differently (dot segments, empty segments, encoded dots, slashes or percent signs,
    backslashes) matches no rule, because it could refer to an unrepeatable operation.
    """
    path = path.partition("?")[0].partition("#")[0]
    if _is_ambiguous(path):
        return None
    best: RetryRule | None = None
    for rule in service.retry_rules:
        if method not in rule.methods or not _matches(rule.prefix, path):
            continue
        if best is None or len(rule.prefix) > len(best.prefix):
            best = rule
    return best


def _matches(prefix: str, path: str) -> bool:
    trimmed = prefix.rstrip("/")
    return path.startswith(trimmed) and path[len(trimmed) : len(trimmed) + 1] in ("", "/")


def _is_ambiguous(path: str) -> bool:
    lowered = path.lower()
    if (
        "\\" in path
        or "//" in path
        or any(code in lowered for code in ("%2e", "%2f", "%5c", "%25"))
    ):
        return True
    return any(segment.partition(";")[0] in (".", "..") for segment in path.split("/"))

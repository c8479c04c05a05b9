"""Seeded plans of disturbances."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import NamedTuple, TypeVar

from standins.relay import Direction, Relay
from standins.soak._deployment import Deployment
from standins.soak._instance import INSTANCE_TOPIC, Conditions, Instance
from standins.soak._rules import Departure, Disturbance
from standins.store import StoreConditions

_Item = TypeVar("_Item")
_FIRST_EVENT_S = 4.0
_LAPSE_S = 4.5  # Three heartbeats without a report.
_OUTAGES = {
    "503": StoreConditions(status=503),
    "resets": StoreConditions(resets=True),
    "silent": StoreConditions(silent=True),
}
_REPEATED_ID_SHARE = 0.5  # Callers that keep their identifier, added by each event at a time.
_RESET_SHARE = 0.5  # Restarts of instances that reset their connections.
_OLD_ENTRY_S = (0.4, 1.5)  # Time for which the entry of the id before still stands.
_SWITCH_S = 2.5  # Time until hosts use a changed address only.
_COPY_AGE_S = (0.5, 4.0)  # Of the copy from which the store comes back.
_LINGER_S = 6.0  # Time for which a leaving instance still serves.


class Event(NamedTuple):
    """One disturbance."""

    at_s: float  # Seconds since the start of the run.
    kind: str  # Key of `EVENTS`.
    seed: int  # Of its random choices.


Handler = Callable[[Deployment, Random], Awaitable[str]]
EVENTS: dict[str, Handler] = {}


def event(kind: str) -> Callable[[Handler], Handler]:
    """Registers what happens at an event; the handler returns a description when it is over."""

    def register(function: Handler) -> Handler:
        EVENTS[kind] = function
        return function

    return register


def build_plan(
    seed: int, duration_s: float, kinds: Sequence[str], interval_s: float
) -> tuple[Event, ...]:
    """Returns events of all `kinds` in random order, one per `interval_s` on average."""
    rng = Random(seed)
    events: list[Event] = []
    at_s = _FIRST_EVENT_S
    remaining: list[str] = []
    while at_s < duration_s:
        if not remaining:
            remaining = rng.sample(kinds, len(kinds))
        events.append(Event(at_s, remaining.pop(), rng.getrandbits(32)))
        at_s += rng.uniform(0.5, 1.5) * interval_s
    return tuple(events)


def _share(rng: Random, items: Sequence[_Item], low: float, high: float) -> list[_Item]:
    count = max(1, round(rng.uniform(low, high) * len(items))) if items else 0
    return rng.sample(list(items), count)


def _sound_instances(deployment: Deployment, rng: Random) -> list[Instance]:
    """Returns the instances of one service that are not leaving."""
    service = rng.choice(sorted(deployment.topology.instances))
    return [
        each
        for each in deployment.instances
        if each.service == service and not each.conditions.leaving
    ]


async def _disturb(deployment: Deployment, rng: Random, conditions: Conditions) -> int:
    """Applies conditions to some instances of a service for a time; returns their number."""
    instances = _share(rng, _sound_instances(deployment, rng), 0.2, 0.6)
    await _apply(instances, conditions, rng.uniform(3.0, 8.0))
    return len(instances)


async def _apply(instances: Sequence[Instance], conditions: Conditions, for_s: float) -> None:
    for each in instances:
        each.conditions = conditions
    await asyncio.sleep(for_s)
    for each in instances:
        each.conditions = Conditions(leaving=each.conditions.leaving)


@event("reject")
async def _reject(deployment: Deployment, rng: Random) -> str:
    """Instances reject all requests and name the time to wait."""
    instances = _share(rng, _sound_instances(deployment, rng), 0.3, 1.0)
    retry_after_s, for_s = rng.choice((1.5, 3.0, 4.0)), rng.uniform(3.0, 8.0)
    for each in instances:
        each.conditions = each.conditions._replace(retry_after_s=retry_after_s)
    await asyncio.sleep(for_s)
    for each in instances:
        each.conditions = each.conditions._replace(retry_after_s=0.0)
    return f"{len(instances)} instances rejected requests, Retry-After {retry_after_s:g}"


@event("reset")
async def _reset(deployment: Deployment, rng: Random) -> str:
    """Instances reset a part of the requests that they run."""
    instances = _share(rng, _sound_instances(deployment, rng), 0.2, 0.6)
    with deployment.instance_faults(instances):
        await _apply(instances, Conditions(reset_share=0.7), rng.uniform(3.0, 8.0))
    return f"{len(instances)} instances reset requests"


@event("fail")
async def _fail(deployment: Deployment, rng: Random) -> str:
    """Instances run requests and respond with a failure that does not deny it."""
    status = rng.choice((408, 421, 429, 500, 503))
    count = await _disturb(deployment, rng, Conditions(failure_share=0.7, failure_status=status))
    return f"{count} instances ran requests and responded with {status}"


@event("repeat")
async def _repeat(deployment: Deployment, rng: Random) -> str:
    """Instances write rejections once more, ahead of the next response on the connection."""
    count = await _disturb(deployment, rng, Conditions(repeated_rejection_share=0.5))
    return f"{count} instances wrote rejections once more"


async def _refuse_returning_callers(
    deployment: Deployment, rng: Random, conditions: Conditions
) -> int:
    """Applies conditions for a time in which some callers keep their identifiers."""
    instances = _share(rng, _sound_instances(deployment, rng), 0.5, 1.0)
    deployment.repeated_id_share += _REPEATED_ID_SHARE
    await _apply(instances, conditions, rng.uniform(3.0, 8.0))
    deployment.repeated_id_share -= _REPEATED_ID_SHARE
    return len(instances)


@event("refuse")
async def _refuse(deployment: Deployment, rng: Random) -> str:
    """Callers and hosts come back to instances that then write their refusal once more."""
    status = rng.choice((429, 503))
    conditions = Conditions(refusal_share=0.6, refusal_status=status, repeats_to_same_request=True)
    count = await _refuse_returning_callers(deployment, rng, conditions)
    return f"{count} instances refused requests with {status}, again if they came again"


@event("copy")
async def _copy(deployment: Deployment, rng: Random) -> str:
    """Instances write refusals once more some time after them, whatever the connection carries."""
    delay_s = rng.choice((0.02, 0.05, 0.08))
    conditions = Conditions(refusal_share=0.6, copy_delay_s=delay_s)
    count = await _refuse_returning_callers(deployment, rng, conditions)
    return f"{count} instances wrote refusals once more {delay_s * 1000:.0f} ms later"


@event("restart")
async def _restart(deployment: Deployment, rng: Random) -> str:
    """Instances start again at their address under a new id; the old entry stands for a time."""
    instances = _share(rng, _sound_instances(deployment, rng), 0.3, 1.0)
    reset = rng.random() < _RESET_SHARE
    for_s, count = rng.uniform(3.0, 8.0), 0
    ends_s = deployment.now_s() + for_s
    playing = asyncio.create_task(
        _apply(instances, Conditions(repeats_to_same_request=True), for_s)
    )
    while deployment.now_s() < ends_s:
        old_keys = [
            (each, deployment.start_instance_again(each, reset=reset))
            for each in instances
            if each.started and not each.conditions.leaving
        ]
        count += len(old_keys)
        await asyncio.sleep(rng.uniform(*_OLD_ENTRY_S))
        for each, key in old_keys:
            each.deregister(key)
    await playing
    return f"{len(instances)} instances started again, {count} times{', resets' if reset else ''}"


@event("silent")
async def _silent(deployment: Deployment, rng: Random) -> str:
    """Instances run requests and do not respond."""
    count = await _disturb(deployment, rng, Conditions(silent_share=0.7))
    return f"{count} instances did not respond"


@event("crash")
async def _crash(deployment: Deployment, rng: Random) -> str:
    """Instances reset their connections and refuse new ones."""
    instances = _share(rng, _sound_instances(deployment, rng), 0.1, 0.4)
    with deployment.instance_faults(instances):
        for each in instances:
            each.refuse()
        await asyncio.sleep(rng.uniform(2.0, 5.0))
        for each in instances:
            if each.started:
                await each.listen()
    return f"{len(instances)} instances refused connections"


@event("cut")
async def _cut(deployment: Deployment, rng: Random) -> str:
    """Links between hosts and instances are silent in one direction, and deliver it all later."""
    instances = _share(rng, _sound_instances(deployment, rng), 0.2, 0.5)
    direction = rng.choice(tuple(Direction))
    relays = [Relay(each.address) for each in instances]
    for each, relay in zip(instances, relays, strict=True):
        each.relay_address = await relay.start()
        each.register()
    await asyncio.sleep(_SWITCH_S)
    from_s = deployment.now_s()
    with deployment.instance_faults(instances):
        for relay in relays:
            relay.cut([direction])
        await asyncio.sleep(rng.uniform(2.0, 5.0))
        for relay in relays:
            relay.heal()
    deployment.observations.disturbances += [
        Disturbance(key, from_s, deployment.now_s()) for each in instances for key in each.keys
    ]
    await asyncio.sleep(_SWITCH_S)
    for each in instances:
        each.relay_address = ""
        if each.started and not each.conditions.leaving:
            each.register()
    await asyncio.sleep(_SWITCH_S)
    await asyncio.gather(*(relay.close() for relay in relays))
    return f"{len(instances)} instances were cut off, {direction}"


@event("upload")
async def _upload(deployment: Deployment, rng: Random) -> str:
    """Callers send bodies slowly, at times beyond their deadline."""
    deployment.slow_upload_share = 0.3
    await asyncio.sleep(rng.uniform(3.0, 8.0))
    deployment.slow_upload_share = 0.0
    return "callers sent bodies slowly"


@event("leave")
async def _leave(deployment: Deployment, rng: Random) -> str:
    """Instances are replaced; their reports may not reach the store."""
    instances = _share(rng, _sound_instances(deployment, rng), 0.1, 0.4)
    report = rng.choice(("draining", "unannounced", "cut off"))
    for each in instances:
        await deployment.add_instance(each.service, each.zone)
    for each in instances:
        each.conditions = each.conditions._replace(leaving=True)
        if report == "draining":
            each.register("draining")
        elif report == "unannounced":
            each.deregister()
        if report != "cut off":
            deployment.observations.departures.append(Departure(each.key, deployment.now_s()))
    await asyncio.sleep(_LAPSE_S)
    if report == "cut off":
        for each in instances:
            each.deregister()
    await asyncio.sleep(_LINGER_S)
    for each in instances:
        if report == "draining":
            each.deregister()
        each.started = False
        await each.close()
    return f"{len(instances)} instances have left, {report}"


@event("outage")
async def _outage(deployment: Deployment, rng: Random) -> str:
    """The store is away, and registrations lapse meanwhile; sound instances renew them."""
    kind = rng.choice(sorted(_OUTAGES))
    with deployment.store_disturbance():
        deployment.store.conditions = _OUTAGES[kind]
        await asyncio.sleep(_LAPSE_S)
        lapsed = _share(rng, _sound_instances(deployment, rng), 0.2, 0.5)
        for each in lapsed:
            each.deregister()
        deployment.store.conditions = StoreConditions()
    await asyncio.sleep(rng.uniform(0.3, 1.8))
    for each in lapsed:
        if not each.conditions.leaving:
            each.register()
    return f"the store was away ({kind}), {len(lapsed)} registrations lapsed"


@event("rewind")
async def _rewind(deployment: Deployment, rng: Random) -> str:
    """The store comes back from a copy; instances and operator write again what it has lost."""
    store, copy = deployment.store, deployment.store.copy_topics()
    deployment.write_configuration(deployment.version + 1)
    left = await _replace_unannounced(deployment, rng)
    for each in deployment.instances:
        if each.started and not each.conditions.leaving:
            each.register()  # Renewals are lost and make the log longer than it will be.
    await asyncio.sleep(rng.uniform(*_COPY_AGE_S))
    with deployment.store_disturbance():
        before = {key: value for key, (value, _) in store.topic(INSTANCE_TOPIC).newest.items()}
        away_s, away = rng.choice((0.0, 0.3, 3.0)), StoreConditions(status=503)
        store.conditions = away
        await asyncio.sleep(away_s)
        store.go_back(copy)
        if store.conditions is away:  # Otherwise an outage has begun meanwhile.
            store.conditions = StoreConditions()
    await asyncio.sleep(rng.uniform(0.3, 1.8))
    topic = store.topic(INSTANCE_TOPIC)
    written = {key for key, _ in topic.records[copy[INSTANCE_TOPIC].end - topic.first :]}
    lost = [
        (key, before.get(key, b""))
        for key in sorted({*before, *topic.newest} - written)
        if topic.newest.get(key, (b"", 0))[0] != before.get(key, b"")
    ]
    for key, value in lost:
        store.append_record(INSTANCE_TOPIC, key, value)
    deployment.write_configuration(deployment.version)
    # The hosts must follow the store again by now.
    await asyncio.sleep(deployment.bounds.stable_s)
    left += await _replace_unannounced(deployment, rng)
    await asyncio.sleep(_LINGER_S)
    for each in left:
        each.started = False
        await each.close()
    return f"the store went back after {away_s:g} s, {len(lost)} registrations were written again"


async def _replace_unannounced(deployment: Deployment, rng: Random) -> list[Instance]:
    """Starts instances and removes the entries of as many, whose responses do not tell of it."""
    left = _share(rng, _sound_instances(deployment, rng), 0.0, 0.3)
    for each in left:
        await deployment.add_instance(each.service, each.zone)
        each.conditions = each.conditions._replace(leaving=True, says_so=False)
        each.deregister()
        deployment.observations.departures.append(Departure(each.key, deployment.now_s()))
    return left


@event("terminate")
async def _terminate(deployment: Deployment, rng: Random) -> str:
    """Hosts are restarted in turn."""
    hosts = _share(rng, deployment.hosts, 0.1, 0.25)
    for host in hosts:
        if not host.disturbed:
            await deployment.restart_host(host, host.process.terminate, 0.2)
    return f"{len(hosts)} hosts were restarted"


@event("kill")
async def _kill(deployment: Deployment, rng: Random) -> str:
    """Hosts are killed at the same time and start again."""
    hosts = [host for host in _share(rng, deployment.hosts, 0.1, 0.5) if not host.disturbed]
    await asyncio.gather(*(deployment.restart_host(host, host.process.kill, 0.5) for host in hosts))
    return f"{len(hosts)} hosts were killed and started again"


@event("suspend")
async def _suspend(deployment: Deployment, rng: Random) -> str:
    """Hosts stand still for some seconds."""
    hosts = [host for host in _share(rng, deployment.hosts, 0.05, 0.2) if not host.disturbed]
    for_s = rng.uniform(1.0, 4.0)
    await asyncio.gather(*(deployment.suspend_host(host, for_s) for host in hosts))
    return f"{len(hosts)} hosts were suspended for {for_s:.1f} s"

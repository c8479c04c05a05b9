"""Guards against requests that stay at a host although an instance has room, or have no caller."""

import asyncio
import math
from types import SimpleNamespace

import pytest

from anviltray.decisions.placement import HealthTracker, Placed, Shed
from anviltray.edge._call import EdgeCall
from anviltray.edge._waiting import InstanceWaits
from anviltray.messages import InstanceObservation

SERVICE = "keeper"
MEAN_S = 0.05


class FakeInstance:
    """An instance with room for some requests, and the host that knows of it."""

    def __init__(self):
        self.room = 1
        self.instance = SimpleNamespace(id="i-1", service=SERVICE)
        self.tracker = SimpleNamespace(mean_latency_s=lambda service: MEAN_S, on_room=None)
        directory = SimpleNamespace(
            instances={"i-1": self.instance}, usable=lambda service: [self.instance]
        )
        self.state = SimpleNamespace(
            health_tracker=self.tracker,
            directory=directory,
            serving_hosts=1,
            account_weight=lambda account: 1.0,
        )
        self.counts = []
        metrics = SimpleNamespace(count=self.counts.append)
        self.waits = InstanceWaits(self.state, metrics, SimpleNamespace(random=lambda: 0.5))
        # Other requests of this host are in flight, so waiting ones expect room soon.
        for _ in range(10):
            self.waits.on_attempt_started(SERVICE)

    def choose(self, max_load):
        if self.room or max_load == math.inf:
            self.room -= 1
            return Placed(self.instance, 1.0, 0.0, 0.0, False)
        return Shed(0.4, 1.0, 1)

    def place(self, priority=1, target_s=0.8, remaining_s=3.0):
        call = SimpleNamespace(
            service=SERVICE,
            account="",
            priority=priority,
            route=SimpleNamespace(target_latency_s=target_s),
            elapsed_s=lambda: 0.0,
            remaining_s=lambda: remaining_s,
            history=[],
        )
        return asyncio.create_task(self.waits.place(call, self.choose))


def run(test):
    async def main():
        instance = FakeInstance()
        assert isinstance(await instance.place(), Placed)
        await asyncio.wait_for(test(instance), 5)

    asyncio.run(main())


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def end_own(instance):
    instance.waits.on_attempt_ended(SERVICE)


def report_room(instance):
    instance.tracker.on_room("i-1")


@pytest.mark.parametrize("free", [end_own, report_room])
def test_request_starts_when_an_instance_has_room(free):
    async def test(instance):
        task = instance.place()
        await settle()
        free(instance)  # There is still no room.
        await settle()
        assert not task.done()
        instance.room = 1
        free(instance)
        assert isinstance(await task, Placed)

    run(test)


def test_urgent_request_starts_first():
    async def test(instance):
        tasks = [instance.place(priority) for priority in (2, 1, 0)]
        await settle()
        for expected in (2, 1, 0):
            instance.room = 1
            end_own(instance)
            await settle()
            assert [task.done() for task in tasks] == [number >= expected for number in range(3)]

    run(test)


def test_request_whose_caller_leaves_takes_no_room():
    async def test(instance):
        left, waiting = instance.place(), instance.place()
        await settle()
        left.cancel()
        instance.room = 1
        end_own(instance)  # Before the cancelled task has run.
        assert isinstance(await waiting, Placed)
        assert left.cancelled()
        assert not instance.waits._services[SERVICE].waiters

    run(test)


def test_request_takes_what_there_is_at_its_latest_useful_start():
    async def test(instance):
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        assert isinstance(await instance.place(target_s=0.4), Placed)
        assert loop.time() - start_s < 0.4 - MEAN_S
        assert instance.counts == ["waits", "waits_ended"]

    run(test)


def test_request_without_a_useful_start_is_rejected_at_once():
    async def test(instance):
        task = instance.place(target_s=0.06)
        await settle()
        shed = task.result()
        assert isinstance(shed, Shed)
        assert shed.retry_after_s > 0
        assert instance.counts == ["waits_refused"]

    run(test)


def test_reports_of_one_host_start_requests_of_the_service_only():
    async def test(instance):
        task = instance.place()
        await settle()
        instance.room = 1
        instance.instance.service = "supply"
        report_room(instance)
        instance.tracker.on_room("unknown")
        await settle()
        assert not task.done()
        task.cancel()

    run(test)


@pytest.mark.parametrize(
    ("history", "attempted"),
    [
        ([], False),
        ([{"waits_ms": 90, "expected_ms": 40, "ahead": 1}], False),
        ([{"waits_ms": 90}, {"instance": "i-1", "load": 0.5}], True),
    ],
)
def test_request_whose_time_ends_while_it_waits_has_not_run(history, attempted):
    """Such a request is rejected, one that was sent ends with an unknown outcome."""
    assert EdgeCall.attempted.fget(SimpleNamespace(history=history)) == attempted


def test_tracker_tells_when_a_request_of_another_host_has_ended():
    tracker, rooms = HealthTracker(), []
    tracker.on_room = rooms.append
    for outstanding in (2, 1, 1, 3, 0):
        observation = InstanceObservation("i-1", outstanding, 0.0, 0.0, 0, 0, -1.0)
        tracker.on_peer_observations(1.0, "10.0.0.2", [observation])
    assert rooms == ["i-1", "i-1"]

"""Registry of the platform adapters by the value of the setting `platform.kind`."""

from collections.abc import Callable

from anviltray.decisions import Registry
from anviltray.platform import HttpPlatform, MemoryPlatform, Platform
from anviltray.settings import PlatformSettings

platforms: Registry[Callable[[PlatformSettings], Platform]] = Registry("platform")


@platforms.register("http")
def _create_http_platform(settings: PlatformSettings) -> Platform:
    return HttpPlatform(settings.url, settings.timeout_s)


@platforms.register("memory")
def _create_memory_platform(_settings: PlatformSettings) -> Platform:
    return MemoryPlatform()

"""The platform's store as a process: the project's stand-in, controlled by lines on its input.

Each line of standard input is a JSON object: `{"do": "append", "topic": ..., "key": ...,
"value": ...}` with the text of a record (an empty one removes the key), or `{"do": "conditions",
...}` with fields of `StoreConditions`. Each line is answered with a line on standard output.
"""

import asyncio
import base64
import json
import sys

from standins.store import StoreConditions, StoreStandin


def _apply(store: StoreStandin, order: dict[str, object]) -> object:
    if order["do"] == "append":
        value = base64.b64decode(str(order["value"]))
        return store.append_record(str(order["topic"]), str(order["key"]), value)
    if order["do"] == "conditions":
        store.conditions = StoreConditions(**order["fields"])  # type: ignore[arg-type]
        return True
    if order["do"] == "calls":
        return len(store.calls)
    raise ValueError(f"unknown order {order!r}")


async def _main() -> None:
    store = StoreStandin("127.0.0.1:0")
    await store.start()
    print(json.dumps(store.address), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(_apply(store, json.loads(line))), flush=True)
    await store.close()


if __name__ == "__main__":
    asyncio.run(_main())

"""A server begins to drain, discovery goes down, and the node's process is replaced: does the drain still hold?"""

import asyncio
import signal
import time
from pathlib import Path

from stage import SOCKET_SLACK_S, TROUBLE, Stage, keep_asking, listening_socket, main, warm_up

DOWN_S = 8.0  # FLEET and STANDING, `herd+mass`: discovery is down for 8 s
GRACE_S = 0.25 + SOCKET_SLACK_S
BINDING_S = 2.0  # DAYS: what discovery tells becomes binding 2 s after the yes
YES_WITHIN_S = 6.0  # DAYS: SIGTERM reaches the old process when the new one says yes, within 6 s
KILL_S = 3.0 + 0.7


async def case(stage: Stage) -> bool:
    """Returns whether the draining server got new requests."""
    listener = listening_socket()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    shared = stage.folder / "shared"
    discovery = await stage.discovery()
    servers = await stage.servers(6, discovery)
    known = discovery.full()
    old = await stage.node(discovery, listen=address, listener=listener, shared_folder=shared).start()
    await warm_up(stage, address)

    leaving = servers[0]
    discovery.put(leaving.entry("terminating"))
    told = time.monotonic()
    clients = asyncio.create_task(keep_asking(stage, address, 14.0))
    await asyncio.sleep(1.5)
    stage.record.note(f"requests to {leaving.name} since {GRACE_S} s after the drain: {late(leaving, told)}")
    if TROUBLE:
        discovery.go_down()
        asyncio.get_running_loop().call_later(DOWN_S, discovery.come_back)

    new = stage.node(discovery, listen=address, listener=listener, shared_folder=shared)
    new.known = known  # the list as the node had it when it was last started; "it may be old"
    starting = asyncio.create_task(new.start())
    await asyncio.wait([starting], timeout=YES_WITHIN_S)
    old.signal(signal.SIGTERM)
    asyncio.get_running_loop().call_later(KILL_S, old.signal, signal.SIGKILL)
    await starting
    yes = time.monotonic()
    await clients
    judged = late(leaving, max(told, yes + BINDING_S))
    stage.record.note(f"new process: yes {yes - told:.2f} s after the drain")
    stage.record.note(
        f"all requests to {leaving.name} after the grace, s after the drain: {late(leaving, told)}"
    )
    stage.record.note(f"of these, {len(judged)} more than {BINDING_S + GRACE_S:.2f} s after the yes")
    return bool(judged)


def late(server, since: float) -> list[float]:  # type: ignore[no-untyped-def]
    """Returns when requests began to arrive at the server, in seconds since `since`, after the grace."""
    return [round(each.began - since, 2) for each in server.arrivals if each.began > since + GRACE_S]


main(case, Path(__file__).resolve().with_name("record.txt"))

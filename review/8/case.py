"""A node restarts after a server has left, and SIGHUP then moves it to a discovery that lists the server still."""

import asyncio
import signal
import time
from pathlib import Path

from stage import SOCKET_SLACK_S, TROUBLE, Stage, keep_asking, main, warm_up

LAG_S = 9.0  # BRIEF 10.2: the box list runs 3 to 9.6 s further behind
USUAL_LAG_S = 0.1
GRACE_S = 0.25 + SOCKET_SLACK_S
LEAVES_S = 0.5  # from the drain to the end in the list
DOWN_S = 0.3  # the site's `balancer_roll`: 0.22 to 1.4 s
BEFORE_SIGHUP_S = 1.1  # LATER: never in its first second, nor before it is ready
OLD_CLOSES_S = 1.5
TOLD_S = 6.0  # PROTOCOL, "Figures": told 6 s later at the latest, whether or not it arrived


async def case(stage: Stage) -> bool:
    """Returns whether the server got requests although its leaving counts as told by every sentence of the pages."""
    old, new = await stage.discovery("discovery A"), await stage.discovery("discovery B")
    servers = await stage.servers(6, old)
    for server in servers:
        new.put(server.entry())
    first = await stage.node(old).start()
    await warm_up(stage, first.listen)

    leaving = servers[0]
    gone = leaving.entry("terminated")
    old.put(leaving.entry("terminating"))
    left = time.monotonic()
    asyncio.get_running_loop().call_later(LAG_S if TROUBLE else USUAL_LAG_S, new.put, gone)
    await asyncio.sleep(LEAVES_S)
    old.put(gone)
    await asyncio.sleep(GRACE_S)
    first.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    node = await stage.node(old, listen=first.listen).start()
    clients = asyncio.create_task(keep_asking(stage, node.listen, 9.0, clients=8))
    await asyncio.sleep(BEFORE_SIGHUP_S)
    node.discovery = new.address
    node.write_config()
    node.signal(signal.SIGHUP)
    moved = time.monotonic()
    old.refuse()
    await asyncio.sleep(OLD_CLOSES_S)
    await old.stop()
    await clients
    late = [round(each.began - left, 2) for each in leaving.arrivals if each.began > left + GRACE_S]
    bound = TOLD_S + GRACE_S
    judged = [moment for moment in late if moment > bound]
    stage.record.note(f"SIGHUP {moved - left:.2f} s after {leaving.name} began to leave")
    stage.record.note(f"all requests to {leaving.name} after the grace, in s after that: {late}")
    stage.record.note(f"of these, {len(judged)} more than {bound:.2f} s after that; only these are counted")
    return bool(judged)


main(case, Path(__file__).resolve().with_name("record.txt"))

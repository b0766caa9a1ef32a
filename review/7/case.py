"""A server begins to drain, and the new discovery, to which SIGHUP moves the node, lists that late."""

import asyncio
import signal
import time

from stage import SOCKET_SLACK_S, TROUBLE, Stage, keep_asking, main, warm_up

LAG_S = 9.0  # BRIEF 10.2: the box list runs 3 to 9.6 s further behind
USUAL_LAG_S = 0.1
GRACE_S = 0.25 + SOCKET_SLACK_S
TOLD_S = 6.0  # PROTOCOL, "Figures": told 6 s later at the latest, whether or not it arrived
OLD_CLOSES_S = 1.5


async def case(stage: Stage) -> bool:
    """Returns whether the draining server got new requests."""
    old, new = await stage.discovery("discovery A"), await stage.discovery("discovery B")
    servers = await stage.servers(6, old)
    for server in servers:
        new.put(server.entry())
    node = await stage.node(old).start()
    await warm_up(stage, node.listen)

    leaving = servers[0]
    entry = leaving.entry("terminating")
    old.put(entry)
    told = time.monotonic()
    asyncio.get_running_loop().call_later(LAG_S if TROUBLE else USUAL_LAG_S, new.put, entry)
    clients = asyncio.create_task(keep_asking(stage, node.listen, 12.0, clients=8))
    await asyncio.sleep(0.5)
    node.discovery = new.address
    node.write_config()
    node.signal(signal.SIGHUP)
    old.refuse()
    await asyncio.sleep(OLD_CLOSES_S)
    await old.stop()
    await clients
    late = [round(each.began - told, 2) for each in leaving.arrivals if each.began > told + GRACE_S]
    stage.record.note(f"requests to {leaving.name} after the grace, s after the node was told: {late}")
    stage.record.note(
        f"of these, {sum(each > TOLD_S + GRACE_S for each in late)} more than {TOLD_S} s after it"
    )
    return bool(late)


main(case, __file__)

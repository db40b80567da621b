"""Waking the loops of a process together, since each wake costs an idle one."""

import anyio


async def sleep_until_tick(period_s: float) -> None:
    """Sleep until the clock shows the next whole multiple of a period."""
    await anyio.sleep(period_s - anyio.current_time() % period_s)

"""Runs an instance whose path to some ports can be cut, without privileges.

Connections to the ports lead through links (``link.py``), which cut or stall
those that are open. New ones fail as the file of the mode says: ``hang``, or
``refuse``; if it is empty they are established. The instance's own code is
unchanged: only the event loop's method to connect is replaced.

The variable PARTITION has JSON: ``ports`` (by port that of its link) and
``mode`` (path of the file).
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import typing

from geraniumlink.hosting import __main__ as hosting

VARIABLE = "PARTITION"
_connect = asyncio.BaseEventLoop.create_connection


async def _connect_through_link(
    loop: asyncio.BaseEventLoop,
    factory: typing.Any,
    host: typing.Any = None,
    port: typing.Any = None,
    **options: typing.Any,
) -> typing.Any:
    partition = json.loads(os.environ[VARIABLE])
    link = partition["ports"].get(str(port))
    if link is not None:
        mode = pathlib.Path(partition["mode"]).read_text()
        if mode == "hang":
            await asyncio.sleep(3600)
        if mode == "refuse":
            raise ConnectionRefusedError(f"no path to {host}:{port}")
        port = link
    return await _connect(loop, factory, host, port, **options)


if __name__ == "__main__":
    setattr(  # noqa: B010
        asyncio.BaseEventLoop, "create_connection", _connect_through_link
    )
    sys.exit(hosting.main())

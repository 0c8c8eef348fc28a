"""Clients: one request on a new connection, as PROTOCOL.md has it."""

import asyncio

from manifest import HOST, KEY
from wire import Closed, call, new_id


async def send(fleet, instance, path, model=None, method="POST", body=b"x" * 64, deadline_ms=4000,
               more=()):
    """Sends one request to an instance; returns its id and its status, 0 without a whole answer."""
    attempt = new_id()
    headers = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms),
               ("Authorization", f"Bearer {KEY}"), *more]
    if model is not None:
        headers += [("Model", model), ("Token-Usage", "146,24"),
                    ("Prompt-Prefix", f"5c1e07a2:100,{attempt[-8:]}:46")]
    fleet.note("sent", attempt=attempt, to=instance.name, path=path, model=model)
    try:
        status, _, _ = await call(instance.front, method, path, headers, body,
                                  timeout=deadline_ms / 1000.0 + 1.0)
    except (Closed, OSError, asyncio.TimeoutError, ValueError) as error:
        fleet.note("no_answer", attempt=attempt, reason=type(error).__name__)
        return attempt, 0
    fleet.note("answered", attempt=attempt, status=status)
    return attempt, status

"""Remote commands to a child process: one JSON value per line on its pipes.

The module imports nothing of the project, so that the child programs can run against
any checkout.
"""

import asyncio
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

Command = Callable[..., Awaitable[Any]]
LINE_LIMIT_BYTES = 8 * 1024 * 1024


async def serve_commands(commands: dict[str, Command]) -> None:
    """Run commands from the standard input until it is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    commands = {"cpu": cpu, **commands}
    while line := await reader.readline():
        name, arguments = json.loads(line)
        try:
            reply = {"ok": await commands[name](**arguments)}
        except Exception as exc:
            reply = {"error": repr(exc)}
        sys.stdout.write(json.dumps(reply) + "\n")
        sys.stdout.flush()


async def cpu() -> float:
    """Return the CPU seconds used by this process."""
    return time.process_time()


class Child:
    """Child process that runs a program of this folder against the checkout `tree`."""

    def __init__(self, program: str, tree: str) -> None:
        self.program = program
        self.tree = tree
        self.process: asyncio.subprocess.Process | None = None
        self._call_lock = asyncio.Lock()

    async def start(self, log_path: str) -> None:
        """Start the program; append its standard error to a file."""
        path = os.path.join(os.path.dirname(os.path.abspath(__file__)), self.program)
        with open(log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-P",
                path,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=self.tree,
                env={**os.environ, "PYTHONPATH": self.tree},
                limit=LINE_LIMIT_BYTES,
            )

    async def call(self, command: str, /, **arguments: Any) -> Any:
        """Run a command in the child and return its result.

        Raises RuntimeError if the command fails or the child ends.
        """
        assert self.process is not None
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self._call_lock:
            line = json.dumps([command, arguments]) + "\n"
            self.process.stdin.write(line.encode())
            await self.process.stdin.drain()
            reply = await self.process.stdout.readline()
        if not reply:
            raise RuntimeError(f"{self.program} exited while it ran command {command}")
        decoded = json.loads(reply)
        if "error" in decoded:
            raise RuntimeError(f"{self.program}: {command}: {decoded['error']}")
        return decoded["ok"]

    async def stop(self, limit_s: float = 5.0) -> None:
        """Stop the program by closing its input; kill it after `limit_s`."""
        if self.process is None:
            return
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

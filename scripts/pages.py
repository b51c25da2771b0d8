"""Run the shell commands of a documentation page and compare their output with the page.

    .venv/bin/python scripts/pages.py docs/first-deployment.md

The fenced `sh` blocks of the page run in order, in one shell, from the repository's root. A `text`
block that directly follows is the expected output, in which `...` matches any text within a line
and, on a line of its own, any number of lines. The run ends at the first failing command. All
processes that the page has started are terminated.

The script is not part of the test suite, because pages use fixed ports on loopback.
"""

import argparse
import contextlib
import os
import pathlib
import queue
import re
import signal
import subprocess
import sys
import threading
import time
import typing as t
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
BLOCK_TIMEOUT_S = 60.0
CLOSE_TIMEOUT_S = 5.0

_FENCE = re.compile(r"^```(?P<info>[^\n`]*)\n(?P<text>.*?)^```$", re.MULTILINE | re.DOTALL)
_END_MARKER = "end-of-block-7c1f"


class Block(t.NamedTuple):
    """One fenced block; `line` counts from 1 and `preceding` is the prose before it."""

    info: str
    text: str
    line: int
    preceding: str


class Step(t.NamedTuple):
    """Commands of one block, and the expected output if the page shows it."""

    commands: str
    expected: str | None
    line: int


def blocks(page: str) -> list[Block]:
    """Return the fenced blocks of a page in document order."""
    found = []
    end = 0
    for match in _FENCE.finditer(page):
        line = page.count("\n", 0, match.start()) + 1
        found.append(Block(match["info"].strip(), match["text"], line, page[end : match.start()]))
        end = match.end()
    return found


def steps(page: str) -> list[Step]:
    """Return the `sh` blocks of a page with the output blocks that directly follow them."""
    found: list[Step] = []
    previous = ""
    for block in blocks(page):
        if block.info == "sh":
            found.append(Step(block.text, None, block.line))
        elif block.info == "text" and previous == "sh" and not block.preceding.strip():
            found[-1] = found[-1]._replace(expected=block.text)
        previous = block.info
    return found


def matches(expected: str, printed: str) -> bool:
    """Return whether `printed` matches the expected output with its `...` wildcards."""
    parts = []
    for line in expected.strip("\n").split("\n"):
        if line.strip() == "...":
            parts.append(r"(?:[^\n]*\n)*")
        else:
            parts.append("[^\n]*".join(re.escape(piece) for piece in line.split("...")) + "\n")
    return re.fullmatch("".join(parts), printed.strip("\n") + "\n") is not None


class Shell:
    """One `sh -e` process that runs blocks in order; see :func:`open_shell`."""

    def __init__(self, popen: subprocess.Popen[str]) -> None:
        self._popen = popen
        self._lines: queue.Queue[str | None] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        for line in t.cast(t.IO[str], self._popen.stdout):
            self._lines.put(line)
        self._lines.put(None)

    def run(self, commands: str, timeout: float) -> tuple[bool, str]:
        """Run commands; return whether all succeeded within `timeout` seconds, and their output."""
        stdin = t.cast(t.IO[str], self._popen.stdin)
        end = time.monotonic() + timeout
        printed: list[str] = []
        try:
            # The output of the commands may lack a final newline.
            stdin.write(f"{commands}\nprintf '\\n%s\\n' {_END_MARKER}\n")
            stdin.flush()
            while (line := self._lines.get(timeout=max(0.0, end - time.monotonic()))) is not None:
                if line.strip() == _END_MARKER:
                    return True, "".join(printed).removesuffix("\n")
                printed.append(line)
        except BrokenPipeError:
            printed.append("(the shell has exited)\n")
        except queue.Empty:
            printed.append(f"(not finished within {timeout:g} s)\n")
        return False, "".join(printed)


@contextlib.contextmanager
def open_shell() -> Iterator[Shell]:
    """Yield a shell in a new process group; terminate the group when the `with` block exits."""
    path = f"{ROOT / '.venv' / 'bin'}:{os.environ['PATH']}"
    popen = subprocess.Popen(
        ["sh", "-e"],
        cwd=ROOT,
        env={**os.environ, "PATH": path, "PYTHONUNBUFFERED": "1"},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        yield Shell(popen)
    finally:
        _end_group(popen)


def _end_group(popen: subprocess.Popen[str]) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.killpg(popen.pid, signal.SIGTERM)
    with contextlib.suppress(subprocess.TimeoutExpired):
        popen.wait(CLOSE_TIMEOUT_S)
    end = time.monotonic() + CLOSE_TIMEOUT_S
    with contextlib.suppress(ProcessLookupError):
        while time.monotonic() < end:
            os.killpg(popen.pid, 0)
            time.sleep(0.1)
        os.killpg(popen.pid, signal.SIGKILL)
    popen.wait()


def run_page(path: pathlib.Path, timeout: float, *, show: bool = False) -> bool:
    """Run one page and print the verdict of each block; return whether all succeeded."""
    found = steps(path.read_text(encoding="utf-8"))
    with open_shell() as shell:
        for step in found:
            start = time.monotonic()
            succeeded, printed = shell.run(step.commands, timeout)
            matched = step.expected is None or matches(step.expected, printed)
            verdict = "ok" if succeeded and matched else "FAILED" if not succeeded else "DIFFERS"
            print(f"{path.name}:{step.line}: {verdict} ({time.monotonic() - start:.1f} s)")
            if show or verdict != "ok":
                print(printed)
            if verdict != "ok":
                print(
                    f"--- expected:\n{step.expected}" if step.expected and succeeded else "", end=""
                )
                return False
    return bool(found)


def main() -> int:
    """Run the pages given on the command line; return 1 if any of them failed."""
    parser = argparse.ArgumentParser(description="Run the commands of pages as written.")
    parser.add_argument("pages", nargs="+", type=pathlib.Path)
    parser.add_argument(
        "--timeout", type=float, default=BLOCK_TIMEOUT_S, help="seconds for each block"
    )
    parser.add_argument("--show", action="store_true", help="print the output of every block")
    args = parser.parse_args()
    succeeded = [run_page(page, args.timeout, show=args.show) for page in args.pages]
    return 0 if all(succeeded) else 1


if __name__ == "__main__":
    sys.exit(main())

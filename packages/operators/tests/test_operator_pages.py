"""Commands shown in the documentation parse, and every command and exit code is documented."""

import re
import shlex
from pathlib import Path

import pytest
from cardamomloft.operators import main
from cardamomloft.operators.outcomes import ExitCode

PAGES = Path(__file__).parents[3] / "docs"
COMMAND = re.compile(r"^\s*(?:\$ )?cardamomctl (.+)$", re.MULTILINE)


def commands():
    for page in sorted(PAGES.rglob("*.md")):
        text = page.read_text(encoding="utf-8").replace("\\\n", " ")
        for line in COMMAND.findall(text):
            yield pytest.param(line, id=f"{page.name}: {line}")


@pytest.mark.parametrize("line", list(commands()))
def test_a_command_on_a_page_parses(line, monkeypatch, tmp_path):
    monkeypatch.chdir(tmp_path)
    ran = []
    monkeypatch.setattr(main, "execute", lambda options, command: ran.append(command))
    main.bind(shlex.split(line, comments=True))()
    assert len(ran) == 1


def test_the_pages_show_every_command_and_exit_code():
    page = (PAGES / "cardamomctl.md").read_text(encoding="utf-8")
    shown = {line.split()[0] for line in COMMAND.findall(page)}
    assert shown == {command.__name__ for command in main.COMMANDS}
    codes = {int(number) for number in re.findall(r"^\| (\d+) \|", page, re.MULTILINE)}
    assert codes >= {int(code) for code in ExitCode}

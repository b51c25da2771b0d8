import json
import subprocess
import sys
import urllib.error
import urllib.request
from contextlib import contextmanager

import pytest


@contextmanager
def running(*arguments):
    """Run a stand-in process and yield its ready line; the process must exit with status 0."""
    command = [sys.executable, "-m", "cardamomloft_standins.main", *arguments]
    proc = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        yield json.loads(proc.stdout.readline())
    finally:
        proc.terminate()
        status = proc.wait(timeout=10)
        proc.stdout.close()
    assert status == 0


def call(method, url, content=None):
    body = None if content is None else json.dumps(content).encode()
    request = urllib.request.Request(f"http://{url}", data=body, method=method)
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.loads(answer.read())


@pytest.mark.parametrize(
    ("name", "path"), [("store", "/control/counts"), ("vms", "/control/counts")]
)
def test_a_refusing_process_listens_again_after_a_control_request(name, path):
    with running(name, "--listen", "127.0.0.1:0") as ready:
        (address,) = ready["listening"]
        assert call("PUT", f"{address}/control", {"down": "refuse"})["down"] == "refuse"
        with pytest.raises(urllib.error.URLError, match="refused"):
            call("GET", address + path)
        assert call("GET", ready["control"] + path)
        call("PUT", f"{ready['control']}/control", {"down": False})
        assert "calls" in call("GET", address + path)


def test_one_process_holds_several_endpoints(tmp_path):
    names = ["menus-1", "menus-2"]
    row = {"address": "127.0.0.1:0", "service": "menus", "slots": 3, "zone": "a"}
    settings = tmp_path / "upstreams.json"
    settings.write_text(json.dumps({"endpoints": [{**row, "name": name} for name in names]}))
    with running("upstreams", "--settings", str(settings)) as ready:
        echoes = [call("POST", f"{at}/menus", {}) for at in ready["listening"]]
        assert [echo["endpoint"] for echo in echoes] == names
        control = f"{ready['control']}/menus-2/-"
        assert call("PUT", f"{control}/control", {"refuse": True})["refuse"]
        with pytest.raises(urllib.error.URLError, match="refused"):
            call("GET", f"{ready['listening'][1]}/-/load")
        assert call("GET", f"{control}/books")["started"] == 1

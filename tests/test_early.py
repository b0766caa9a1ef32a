"""The clients' socket stands before the program is loaded."""

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from harecross.node import early
from tests.node_support import config_of

ROOT = Path(__file__).parent.parent


@pytest.fixture(autouse=True)
def closed():
    yield
    if early.opened is not None:
        early.opened[2].close()
        early.opened = None


def test_a_connection_and_its_request_wait_while_the_program_is_loaded(monkeypatch):
    monkeypatch.setenv("LB_LISTEN", "127.0.0.1:0")
    monkeypatch.delenv("LB_INHERITED_FD", raising=False)
    early.listen()
    assert early.opened is not None
    address = early.opened[2].getsockname()
    client = socket.create_connection(address, timeout=10)
    client.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
    assert early.taken(("127.0.0.1", 1)) is None, "the configuration names another address"
    descriptor = early.taken(("127.0.0.1", 0))
    assert descriptor is not None and early.taken(("127.0.0.1", 0)) is None
    with socket.socket(fileno=descriptor) as sock:
        conn, _ = sock.accept()
        assert conn.recv(100).startswith(b"GET /_health")
        conn.close()
    client.close()


def test_it_is_open_before_anything_heavy_is_loaded():
    text = "import sys\nfrom harecross.node import early\nearly.listen()\nprint(early.opened is not None, *sys.modules)"
    env = {**os.environ, "LB_LISTEN": "127.0.0.1:0"}
    env.pop("LB_INHERITED_FD", None)
    out = subprocess.run(
        [sys.executable, "-c", text], cwd=ROOT, env=env, capture_output=True, text=True, check=True
    )
    is_open, *modules = out.stdout.split()
    assert is_open == "True" and not {"asyncio", "uvloop", "json", "socket", "harecross.policy"} & set(
        modules
    )


@pytest.mark.parametrize(
    "listen", ["", "nowhere", "127.0.0.1:x", "127.0.0.1:70000", "no.such.host.invalid:1"]
)
def test_an_address_that_cannot_be_is_left_to_the_start_proper(monkeypatch, listen):
    monkeypatch.setenv("LB_LISTEN", listen)
    early.listen()
    assert early.opened is None


def test_an_inherited_socket_is_the_only_one(monkeypatch):
    monkeypatch.setenv("LB_LISTEN", "127.0.0.1:0")
    monkeypatch.setenv("LB_INHERITED_FD", "4")
    early.listen()
    assert early.opened is None


def test_an_address_in_use_is_one_line_and_status_2(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as other:
        host, port = other.getsockname()
        file = tmp_path / "config.json"
        file.write_text(json.dumps(config_of("127.0.0.1:1", listen=f"{host}:{port}")))
        env = {**os.environ, "LB_LISTEN": f"{host}:{port}", "LB_CONFIG": str(file)}
        run = subprocess.run(
            [sys.executable, "-m", "harecross.node"],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert run.returncode == 2 and run.stderr.count("\n") == 1 and f"listen {host}:{port}: " in run.stderr

import json
import signal
import subprocess
import sys

from heronthread_dispatch.http_client import HttpClient, Reply
from heronthread_emulator.addresses import Network, claim_network
from heronthread_emulator.standin import StandinSettings, serve_commands


def test_settings_are_read_as_they_were_written(tmp_path):
    settings = StandinSettings(Network(31), 1, 2, 3, "127.31.7.1:8000", {"a": [1]})
    path = tmp_path / "settings.json"
    path.write_text(settings.encode())
    assert StandinSettings.load(path) == settings


async def test_commands_are_steered(nursery):
    async def double(values):
        return 2 * values["number"]

    with claim_network() as network, HttpClient() as client:
        address = network.control(0)
        await nursery.start(serve_commands, address, {"double": double})
        body = json.dumps({"number": 4}).encode()
        reply = await client.call(address, "POST", "/double", body=body, timeout_s=5)
        assert reply == Reply(200, b"8")
        reply = await client.call(address, "POST", "/other", body=body, timeout_s=5)
        assert reply.status == 404


def test_process_ends_on_a_signal(tmp_path):
    with claim_network() as network:
        path = tmp_path / "settings.json"
        path.write_text(StandinSettings(network, 1, 1, 1, network.control(0)).encode())
        command = [sys.executable, "-m", "heronthread_emulator.store_server", str(path)]
        process = subprocess.Popen(command)
        try:
            _wait_until_served(network.control(0))
            process.send_signal(signal.SIGTERM)
            assert process.wait(30) == 0
        finally:
            process.kill()
            process.wait()


def _wait_until_served(address):
    import trio

    async def wait():
        with HttpClient() as client, trio.fail_after(60):
            while not isinstance(await client.call(address, "GET", "/", timeout_s=1), Reply):
                await trio.sleep(0.05)

    trio.run(wait)

"""End-to-end tests on sockets: callers, VM processes, stand-ins of the platform."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path

import pytest
import yaml

from .soak_processes import Link
from .standins import (
    Client,
    Deployment,
    Store,
    find_ports,
    make_configuration,
    spawn_vm,
)

SLOW_MODULE = """
import os, sys, time
while not os.path.exists({gate!r}):
    time.sleep(0.01)
sys.path.remove(os.path.dirname(__file__))
del sys.modules["uvloop"]
import uvloop
"""
"""A module that blocks its import until a file exists, then loads the real module."""

ROOT = Path(__file__).parent.parent.parent


class Vm:
    """A VM's program in its own process."""

    def __init__(self, *, process, ports, path, output) -> None:
        self.process = process
        self.ports = ports
        self.path = path
        self.output = output

    async def wait_ready(self, wanted: int = 200, attempts: int = 200) -> None:
        """Wait until the readiness probe returns the wanted status."""
        for _ in range(attempts):
            with contextlib.suppress(OSError):
                if await self.probe() == wanted:
                    return
            await asyncio.sleep(0.05)
        raise AssertionError(self.read_output())

    async def probe(self) -> int:
        """Return the status of the readiness probe."""
        return int((await self.get(self.ports[1], "/-/readiness")).split()[1])

    async def get(self, port: int, path: str) -> str:
        """Send an HTTP request; return the whole response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        writer.write(request.encode())
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return answer.decode()

    async def restart(self, fields: dict) -> None:
        """Kill the process and start it with other settings."""
        self.process.kill()
        await self.process.wait()
        self.path.write_text(yaml.safe_dump(fields))
        self.process = await spawn_vm(self.path, self.output)
        await self.wait_ready()

    def read_output(self) -> str:
        """Return the output of the process so far."""
        return self.output.read_text()


@contextlib.asynccontextmanager
async def run_deployment(tmp_path, vms: int = 1, era: int | None = 1):
    """Run stand-ins and VMs; yield the deployment and the VMs."""
    deployment = Deployment()
    deployment.store.era = era
    await deployment.start()
    started = []
    try:
        for index in range(vms):
            ports = find_ports()
            path = tmp_path / f"vm-{index}.yaml"
            settings = deployment.make_settings(f"vm-{index}", ports)
            path.write_text(yaml.safe_dump(settings))
            output = tmp_path / f"vm-{index}.log"
            process = await spawn_vm(path, output)
            started.append(Vm(process=process, ports=ports, path=path, output=output))
        for vm in started:
            await vm.wait_ready()
        yield deployment, started
    finally:
        for vm in started:
            if vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        await deployment.stop()


async def execute_until_done(client: Client, text: str, seconds: float) -> list[str]:
    """Repeat a statement until it succeeds or time is up; return the last answer."""
    deadline = asyncio.get_running_loop().time() + seconds
    while True:
        lines = await client.execute(text)
        done = any(line.startswith("COMPLETE") for line in lines)
        if done or asyncio.get_running_loop().time() > deadline:
            return lines
        await asyncio.sleep(0.05)


def raise_revision(store: Store, changes: int) -> None:
    """Raise a store's revision by changes of an object that no VM reads."""
    for number in range(changes):
        store.put("notes", "n", number)


class TestStatements:
    async def test_reads_see_the_sessions_writes(self, tmp_path):
        """Guards against a read from a replica that lacks the caller's write."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            client, first_line = await Client.connect(vm.ports[0], "crew")
            assert first_line == "READY I -"
            for number in range(20):
                written = await client.execute(f"WRITE x {number}")
                assert written[0].startswith("COMPLETE i-0.")
                assert (await client.execute("READ x"))[0] == f"ROW {number}"

    async def test_transaction_with_prepared_statement_and_values(self, tmp_path):
        """Guards against a statement that runs without its transaction or settings."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            client, _ = await Client.connect(vm.ports[0], "orders")
            assert await client.execute("SET v1 618") == ["COMPLETE -", "READY I -"]
            await client.execute("PREPARE s1 WRITE q2c")
            assert (await client.execute("BEGIN"))[-1] == "READY T -"
            done = await client.execute("EXECUTE s1 1a4 xkq")
            assert done[0].startswith("COMPLETE i-0.") and done[-1] == "READY T -"
            assert (await client.execute("READ 1a4"))[0] == "ROW xkq"
            committed = await client.execute("COMMIT")
            assert committed[0].startswith("COMPLETE i-0.")
            assert committed[-1] == "READY I -"

    async def test_disconnected_caller_commits_nothing(self, tmp_path):
        """Guards against a transaction that continues in another caller's session."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            client, _ = await Client.connect(vm.ports[0], "orders")
            await client.execute("BEGIN")
            await client.execute("WRITE x lost")
            client.close()
            await asyncio.sleep(0.2)
            other, _ = await Client.connect(vm.ports[0], "orders")
            assert (await other.execute("READ x"))[0] == "ROW none"

    async def test_unknown_database_is_refused(self, tmp_path):
        """Guards against a caller that waits for a database which does not exist."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            _, first_line = await Client.connect(vm.ports[0], "nothing")
            assert first_line.startswith("ERROR NODB")


class TestStart:
    async def test_caller_waits_while_the_program_loads(self, tmp_path):
        """Guards against refused connections while a restarted VM loads."""
        gate = tmp_path / "gate"
        modules = tmp_path / "modules"
        modules.mkdir()
        (modules / "uvloop.py").write_text(SLOW_MODULE.format(gate=str(gate)))
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            vm.process.kill()
            await vm.process.wait()
            before = vm.read_output().count("event=started")
            vm.process = await spawn_vm(vm.path, vm.output, modules)
            async with asyncio.timeout(5):
                client = None
                while client is None:
                    await asyncio.sleep(0.01)
                    with contextlib.suppress(ConnectionRefusedError):
                        client = await Client.open(vm.ports[0], "orders")
            assert vm.read_output().count("event=started") == before
            gate.touch()
            assert await client.read_line() == "READY I -"
            assert (await client.execute("READ x"))[0] == "ROW none"

    async def test_json_settings_are_read(self, tmp_path):
        """Guards against a rendered settings template that the program can't read."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            fields = yaml.safe_load(vm.path.read_text())
            vm.path.write_text(json.dumps(fields) + "\n")
            vm.process.kill()
            await vm.process.wait()
            vm.process = await spawn_vm(vm.path, vm.output)
            await vm.wait_ready()
            client, _ = await Client.connect(vm.ports[0], "orders")
            assert (await client.execute("READ x"))[0] == "ROW none"


class TestBadInput:
    @pytest.mark.parametrize(
        "data",
        [
            b"\x00\xff\xfe garbage\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"QUERY 1 READ x\r\n",
            b"x" * ((1 << 20) + 2),
        ],
    )
    async def test_malformed_input_closes_only_its_connection(self, tmp_path, data):
        """Guards against malformed input of one caller that affects others."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            reader, writer = await asyncio.open_connection("127.0.0.1", vm.ports[0])
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                answer = await asyncio.wait_for(reader.read(), 5)
                assert answer.startswith(b"ERROR MALFORMED")
            client, _ = await Client.connect(vm.ports[0], "orders")
            assert (await client.execute("READ x"))[0] == "ROW none"
            assert "caller_line_rejected" in vm.read_output()

    async def test_unreadable_objects_are_logged_and_ignored(self, tmp_path):
        """Guards against an unreadable object that hides the readable ones."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            deployment.store.put("servers", "i-bad", {"service": 7})
            deployment.store.put("config", "main", {"version": "none"})
            await asyncio.sleep(1.5)
            client, _ = await Client.connect(vm.ports[0], "orders")
            assert (await client.execute("READ x"))[0] == "ROW none"
            assert "object_unreadable" in vm.read_output()

    async def test_unusable_settings_are_reported_on_one_line(self, tmp_path):
        """Guards against a failed start whose error doesn't name the field."""
        path = tmp_path / "bad.yaml"
        path.write_text("node_name: vm-1\n")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "siskinhold_platform",
            "--check",
            "--settings",
            str(path),
            stderr=asyncio.subprocess.PIPE,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'platform'}",
            },
        )
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.decode().count("\n") == 1
        assert "listen" in errors.decode()


class TestConfiguration:
    async def test_new_version_is_in_force_at_once(self, tmp_path):
        """Guards against a configuration that isn't in force within 3 s."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            deployment.store.put(
                "config", "main", make_configuration(5, {"fresh": "primary"})
            )
            await asyncio.sleep(0.5)
            _, first_line = await Client.connect(vm.ports[0], "fresh")
            assert first_line == "READY I -"
            _, first_line = await Client.connect(vm.ports[0], "orders")
            assert first_line.startswith("ERROR NODB")

    async def test_expired_history_triggers_a_full_read(self, tmp_path):
        """Guards against a watch that gets no more changes once history is dropped."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            deployment.store.history_expired = True
            deployment.store.put(
                "config", "main", make_configuration(6, {"late": "primary"})
            )
            await asyncio.sleep(3.5)
            _, first_line = await Client.connect(vm.ports[0], "late")
            assert first_line == "READY I -"


class TestStoreOutage:
    async def test_configuration_comes_from_another_vm(self, tmp_path):
        """Guards against outdated routes on a VM that can't read the store."""
        async with run_deployment(tmp_path, vms=2) as (deployment, vms):
            await asyncio.sleep(1.5)
            link = Link(port=deployment.store.port)
            await link.start()
            fields = yaml.safe_load(vms[1].path.read_text())
            fields["platform"]["address"] = f"127.0.0.1:{link.port}"
            await vms[1].restart(fields)
            await asyncio.sleep(1.5)
            link.refuse = True
            link.reset()
            await asyncio.sleep(0.3)
            deployment.store.put(
                "config", "main", make_configuration(9, {"later": "primary"})
            )
            await asyncio.sleep(3)
            _, first_line = await Client.connect(vms[1].ports[0], "later")
            assert first_line == "READY I -"
            assert "event=store_snapshot_received" in vms[1].read_output()
            await link.stop()

    async def test_restarted_vm_learns_all_from_a_seed(self, tmp_path):
        """Guards against a VM that serves nobody if it restarts in an outage."""
        async with run_deployment(tmp_path, vms=2) as (deployment, vms):
            control = find_ports()[0]
            fields = yaml.safe_load(vms[0].path.read_text())
            fields["listen"]["control"] = f"127.0.0.1:{control}"
            await vms[0].restart(fields)
            client, _ = await Client.connect(vms[0].ports[0], "orders")
            assert (await client.execute("WRITE x 1"))[0].startswith("COMPLETE")
            link = Link(port=deployment.store.port)
            await link.start()
            link.refuse = True
            fields = yaml.safe_load(vms[1].path.read_text())
            fields["platform"]["address"] = f"127.0.0.1:{link.port}"
            fields["seeds"] = [f"127.0.0.1:{control}", "127.0.0.1:1"]
            await vms[1].restart(fields)
            client, first_line = await Client.connect(vms[1].ports[0], "orders")
            assert first_line == "READY I -"
            lines = await execute_until_done(client, "READ x", 3)
            assert lines[0] == "ROW 1"
            await link.stop()


class TestRestoredStore:
    async def test_configuration_is_not_missed_by_a_watch_from_a_reused_revision(
        self, tmp_path
    ):
        """Guards against a route that is never served as its revision seems known."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            store = deployment.store
            await asyncio.sleep(0.5)
            for version in range(2, 6):
                store.put("config", "main", make_configuration(version, {}))
            await asyncio.sleep(0.3)
            seen = store.revision
            store.restore(0.5)
            later = make_configuration(6, {"later": "primary"})
            assert store.put("config", "main", later)["meta"]["revision"] < seen
            raise_revision(store, 10)
            await asyncio.sleep(3)
            _, first_line = await Client.connect(vm.ports[0], "later")
            assert first_line == "READY I -"

    async def test_draining_server_that_the_copy_shows_as_ready_gets_nothing(
        self, tmp_path
    ):
        """Guards against statements to a server that is about to stop."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            deployment.instances[1].state = "draining"
            await asyncio.sleep(2)
            assert "event=server_draining server=i-1" in vm.read_output()
            deployment.store.restore(2, delay=2)
            entry = deployment.store.objects["servers", "i-1"]["spec"]
            assert entry["state"] == "ready"
            await asyncio.sleep(1.8)
            assert "event=store_era_began" in vm.read_output()
            assert "event=server_returned" not in vm.read_output()

    async def test_vm_that_the_copy_lacks_registers_again(self, tmp_path):
        """Guards against a VM that others don't know of after a restore."""
        async with run_deployment(tmp_path) as (deployment, _):
            await asyncio.sleep(5)
            assert ("vms", "vm-0") in deployment.store.objects
            deployment.store.restore(60)
            assert ("vms", "vm-0") not in deployment.store.objects
            await asyncio.sleep(3)
            assert ("vms", "vm-0") in deployment.store.objects

    async def test_draining_server_is_noticed_though_the_revision_went_back(
        self, tmp_path
    ):
        """Guards against statements to a server that leaves, as its entry looks old."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            await asyncio.sleep(0.5)
            raise_revision(deployment.store, 50)
            await asyncio.sleep(1.5)
            deployment.store.restore(1.7)
            deployment.instances[1].state = "draining"
            await asyncio.sleep(2)
            assert "event=server_draining server=i-1" in vm.read_output()

    async def test_fence_token_is_greater_than_before_the_restore(self, tmp_path):
        """Guards against two promotions whose order their tokens don't show."""
        async with run_deployment(tmp_path, vms=2) as (deployment, vms):
            loop, store = asyncio.get_running_loop(), deployment.store
            client, _ = await Client.connect(vms[0].ports[0], "orders")
            await asyncio.sleep(0.5)
            copied_at = loop.time()
            raise_revision(store, 50)
            tokens = []
            for number in range(2):
                primary = deployment.group.leader
                await primary.stop()
                lines = await execute_until_done(client, f"WRITE x {number}", 8)
                assert lines[0].startswith("COMPLETE")
                tokens.append(store.promotions[-1][3])
                if number == 0:
                    await primary.start()
                    await asyncio.sleep(1)
                    store.restore(loop.time() - copied_at)
                    await asyncio.sleep(1)
            assert tokens[0] < tokens[1]

    async def test_store_without_an_era_is_followed(self, tmp_path):
        """Guards against a VM that takes a missing header for a restore or an error."""
        async with run_deployment(tmp_path, era=None) as (deployment, (vm,)):
            deployment.store.put(
                "config", "main", make_configuration(5, {"fresh": "primary"})
            )
            deployment.instances[1].state = "draining"
            await asyncio.sleep(2)
            client, first_line = await Client.connect(vm.ports[0], "fresh")
            assert first_line == "READY I -"
            assert (await client.execute("WRITE x 1"))[0].startswith("COMPLETE i-0.")
            assert "event=server_draining server=i-1" in vm.read_output()
            kinds = [kind for method, kind in deployment.store.calls if method != "GET"]
            assert kinds.count("vms") <= 2


class TestFailover:
    async def test_crashed_primary_is_replaced(self, tmp_path):
        """Guards against writes that stay refused after a primary's crash."""
        async with run_deployment(tmp_path, vms=2) as (deployment, vms):
            client, _ = await Client.connect(vms[0].ports[0], "orders")
            assert (await client.execute("WRITE x 1"))[0].startswith("COMPLETE")
            await deployment.instances[0].stop()
            lines = await execute_until_done(client, "WRITE x 2", 6)
            assert lines[0].startswith("COMPLETE")
            tokens = {token for _, _, _, token in deployment.store.promotions}
            assert len(tokens) == 1
            # A write needs no complete record, so it may be answered before that.
            async with asyncio.timeout(5):
                while not any("event=promotion_done" in v.read_output() for v in vms):
                    await asyncio.sleep(0.05)

    async def test_write_by_an_outdated_primary_is_not_acknowledged(self, tmp_path):
        """Guards against an acknowledgement by a primary that was replaced."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            client, _ = await Client.connect(vm.ports[0], "orders")
            old, new = deployment.instances[0], deployment.instances[1]
            await client.execute("WRITE x 1")
            old.group.promote(new)
            lines = await client.execute("WRITE x 2")
            assert lines[0].startswith("ERROR") or "i-1." in lines[0]


class TestSignals:
    async def test_graceful_shutdown_completes_transactions(self, tmp_path):
        """Guards against a shutdown that aborts an open transaction."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            client, _ = await Client.connect(vm.ports[0], "orders")
            await client.execute("BEGIN")
            await client.execute("WRITE x 1")
            vm.process.send_signal(signal.SIGTERM)
            await vm.wait_ready(503)
            assert (await client.execute("COMMIT"))[0].startswith("COMPLETE")
            assert await asyncio.wait_for(vm.process.wait(), 6) == 0
            assert "event=stopped" in vm.read_output()

    async def test_changed_file_is_reloaded_without_a_signal(self, tmp_path):
        """Guards against changed settings that take effect only after a restart."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            fields = yaml.safe_load(vm.path.read_text())
            fields["bounds"]["grace_s"] = 4
            vm.path.write_text(yaml.safe_dump(fields))
            for _ in range(100):
                await asyncio.sleep(0.05)
                if "event=reloaded changed=grace" in vm.read_output():
                    break
            assert "event=reloaded changed=grace" in vm.read_output()

    async def test_reload_names_what_changed(self, tmp_path):
        """Guards against a reload that crashes the process or isn't logged."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            fields = yaml.safe_load(vm.path.read_text())
            fields["bounds"]["grace_s"] = 9
            vm.path.write_text(yaml.safe_dump(fields))
            vm.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert "event=reloaded changed=grace" in vm.read_output()
            vm.path.write_text("[")
            vm.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert "event=reload_failed" in vm.read_output()
            client, _ = await Client.connect(vm.ports[0], "orders")
            assert (await client.execute("READ x"))[0] == "ROW none"


class TestObservability:
    async def test_request_is_found_in_log_and_metrics(self, tmp_path):
        """Guards against a failed request without log lines and metrics."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            client, _ = await Client.connect(vm.ports[0], "orders")
            await client.execute("COMMIT")
            await client.execute("WRITE x 1")
            output = vm.read_output()
            assert "event=refused" in output and "reason=no_transaction" in output
            assert "event=answered" in output and "outcome=done" in output
            metrics = await vm.get(vm.ports[2], "/metrics")
            assert "siskinhold_statements_total" in metrics
            assert "siskinhold_statement_seconds_bucket" in metrics

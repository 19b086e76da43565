"""Starts a deployment of separate processes on loopback, for tests and the demo.

Only processes started here are signalled or ended, each by its process id.
"""

import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = pathlib.Path(
    os.environ.get("PLANTAINTILLER_BINARY", ROOT / "build/release/plantaintiller"))


# Ports below the ephemeral range: an outgoing connection could otherwise take the
# port of a process that is being restarted.
PORTS = itertools.cycle(range(12000 + os.getpid() % 8000, 32000))


def free_port():
    """Returns a port that is free now and was not returned before."""
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise AssertionError("no free port")


def send_request(port, method, target, body=None, timeout=15):
    """Sends one HTTP request. Returns the status and the body, parsed if it is JSON."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, target, text,
                           {"Content-Type": "application/json"})
        answer = connection.getresponse()
        content = answer.read().decode()
        is_json = answer.getheader("Content-Type") == "application/json"
        return answer.status, json.loads(content) if is_json else content
    finally:
        connection.close()


def run_command(*arguments, environment=None):
    """Runs a subcommand until it exits. Returns its status, stdout and stderr."""
    variables = {k: v for k, v in os.environ.items()
                 if not k.startswith("PLANTAINTILLER_")}
    completed = subprocess.run([str(BINARY), *map(str, arguments)], text=True,
                               capture_output=True, timeout=60,
                               env={**variables, **(environment or {})}, check=False)
    return completed.returncode, completed.stdout, completed.stderr


class Process:
    """A process of the deployment, with its output in a log file."""

    def __init__(self, name, arguments, log_folder):
        self.name = name
        self.log_path = pathlib.Path(log_folder) / f"{name}.log"
        environment = {k: v for k, v in os.environ.items()
                       if not k.startswith("PLANTAINTILLER_")}
        with open(self.log_path, "wb") as log:
            self.popen = subprocess.Popen([str(BINARY), *arguments], stdout=log,
                                          stderr=subprocess.STDOUT,
                                          env=environment)

    def send_signal(self, signal_number):
        self.popen.send_signal(signal_number)

    def kill(self):
        if self.popen.poll() not in (None, 0, -signal.SIGKILL):
            print(f"{self.name} had exited with status {self.popen.returncode}:",
                  *self.log_path.read_text().splitlines()[-5:], sep="\n  ",
                  file=sys.stderr)
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()


def sample_questionnaire(zones, databases, slots, connections):
    """Returns questionnaire answers for a deployment of equal databases."""
    return {
        "deployment": "demo", "availability_zones": list(zones),
        "databases": [
            {"service": "demo", "name": f"database-{number}",
             "connections": connections, "stale_reads_ms": 0,
             "slots": [{"availability_zone": zones[slot % len(zones)],
                        "host": "127.0.0.1", "port": 1}
                       for slot in range(slots)]}
            for number in range(1, databases + 1)]}


class Deployment:
    """A stand-in platform, stand-in backend servers, and entry instances."""

    def __init__(self, log_folder, zones=("perth-north", "perth-south"),
                 instances=3, databases=2, slots=2, connections=16, answers=None):
        self.log_folder = pathlib.Path(log_folder)
        self.log_folder.mkdir(parents=True, exist_ok=True)
        self.answers = answers or sample_questionnaire(zones, databases, slots,
                                                       connections)
        self.zones = self.answers["availability_zones"]
        self.processes = []
        self.platform_port = free_port()
        self.platform = self.start_process(
            "platform",
            ["stand-in", "platform", "--listen", f"127.0.0.1:{self.platform_port}"])
        self.backends = {}
        for number, database in enumerate(self.answers["databases"], 1):
            self.start_backends(number, database)
        self.instances = {}
        for number in range(1, instances + 1):
            self.add_instance(number, self.zones[(number - 1) % len(self.zones)])
        wait_until(self.is_platform_ready, "the platform answers")
        self.register_instances()
        status, out, errors = self.publish_configuration()
        if status != 0:
            raise AssertionError(out + errors)

    def start_process(self, name, arguments):
        process = Process(name, arguments, self.log_folder)
        self.processes.append(process)
        return process

    def start_backends(self, number, database):
        for slot, slot_settings in enumerate(database["slots"]):
            slot_settings["port"] = free_port()
            process = self.start_process(
                f"backend-{number}-{slot}",
                ["stand-in", "backend",
                 "--listen", f"127.0.0.1:{slot_settings['port']}",
                 "--connections", str(database["connections"])])
            self.backends[number, slot] = (process, slot_settings["port"])

    def add_instance(self, number, zone):
        instance = {"callers": free_port(), "operators": free_port(),
                    "peers": free_port(), "zone": zone}
        self.instances[number] = instance
        instance["process"] = self.start_process(
            f"instance-{number}",
            ["serve", "--instance", str(number), "--zone", zone,
             "--platform", f"127.0.0.1:{self.platform_port}",
             "--callers", f"127.0.0.1:{instance['callers']}",
             "--operators", f"127.0.0.1:{instance['operators']}",
             "--peers", f"127.0.0.1:{instance['peers']}"])

    def is_platform_ready(self):
        return send_request(self.platform_port, "GET", "/v1/instances")[0] == 200

    def register_instances(self):
        for number, instance in self.instances.items():
            entry = {"id": number, "availability_zone": instance["zone"],
                     "host": "127.0.0.1", "port": instance["peers"], "state": "live"}
            send_request(self.platform_port, "PUT", f"/v1/instances/{number}", entry)

    def write_answers(self):
        path = self.log_folder / "answers.json"
        path.write_text(json.dumps(self.answers))
        return path

    def publish_configuration(self):
        """Publishes the questionnaire answers with the operators' command."""
        return run_command("questionnaire", "--answers", self.write_answers(),
                           "--publish", "--platform",
                           f"127.0.0.1:{self.platform_port}")

    def database_name(self, number):
        database = self.answers["databases"][number - 1]
        return f"{database['service']}.{database['name']}"

    def set_platform_faults(self, **faults):
        return send_request(self.platform_port, "PUT", "/v1/faults", faults)

    def post(self, instance, target, body, timeout=15):
        return send_request(self.instances[instance]["callers"], "POST", target, body,
                            timeout)

    def send_statement(self, instance, sql, params=(), access="read", database=1,
                       **fields):
        body = {"database": self.database_name(database), "sql": sql,
                "params": list(params), "access": access, **fields}
        return self.post(instance, "/v1/statements", body)

    def operator_request(self, instance, target, method="GET"):
        return send_request(self.instances[instance]["operators"], method, target)

    def wait_until_ready(self):
        """Waits until every instance is ready and serves every database."""
        for instance in self.instances:
            wait_until(lambda: self.operator_request(instance, "/v1/ready")[0] == 200,
                       f"instance {instance} is ready")
            for database in range(1, len(self.answers["databases"]) + 1):
                wait_until(lambda: self.send_statement(
                    instance, "SELECT 1", database=database)[0] == 200,
                    f"instance {instance} serves database {database}")

    def close(self):
        for process in self.processes:
            process.kill()


def wait_until(condition, description, timeout=30):
    """Polls until the condition holds; a connection failure counts as not yet."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"not within {timeout} s: {description}")

"""Generates load over several instances and records the outcome of each write.

Checks the same guarantees as the model's checker, against real processes:
acknowledged writes are present, refused writes are absent, no write is present
twice, and each session reads its own writes.
"""

import http.client
import random
import threading
import time
import uuid

from deployment import send_request


class LoadGenerator:
    """Runs sessions that write and read until stopped."""

    def __init__(self, system, instances, sessions=6, seed=1):
        self.system = system
        self.ports = [system.instances[number]["callers"] for number in instances]
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.acknowledged = set()
        self.not_run = set()
        self.outcome_unknown = set()
        self.violations = []
        self.lost_answers = 0
        self.answer_count = 0
        self.acknowledged_at = []
        self.threads = [
            threading.Thread(target=self._session, args=(seed * 1000 + number,))
            for number in range(sessions)]

    def start(self):
        status, answer = self.system.send_statement(
            next(iter(self.system.instances)),
            "CREATE TABLE IF NOT EXISTS written(id TEXT)", access="write",
            request_id="create-written")
        assert status == 200, answer
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _post(self, random_source, body):
        """Sends one request to a random instance. Returns None without an answer."""
        port = random_source.choice(self.ports)
        try:
            return send_request(port, "POST", "/v1/statements", body, timeout=6)
        except (OSError, http.client.HTTPException):
            return None

    def _session(self, seed):
        random_source = random.Random(seed)
        token = ""
        own_writes = []
        while not self.stopping.is_set():
            if random_source.random() < 0.4:
                token = self._write(random_source, token, own_writes)
            else:
                token = self._read(random_source, token, own_writes)
            time.sleep(0.005)

    def _write(self, random_source, token, own_writes):
        write_id = uuid.UUID(int=random_source.getrandbits(128)).hex
        body = {"database": "demo.database-1", "access": "write",
                "sql": "INSERT INTO written VALUES($1)", "params": [write_id],
                "request_id": write_id, "session_token": token,
                "deadline_ms": 3000}
        for attempt in range(8):
            answer = self._post(random_source, body)
            if answer is None:
                body["repeated"] = True
                time.sleep(0.1)
                continue
            status, content = answer
            with self.lock:
                self.answer_count += 1
                if status == 200:
                    self.acknowledged.add(write_id)
                    self.acknowledged_at.append(time.monotonic())
                    own_writes.append(write_id)
                    return content["session_token"]
                if content["error"]["effect"] != "outcome_unknown":
                    self.not_run.add(write_id)
                    return token
            body["repeated"] = True
            time.sleep(0.05)
        with self.lock:
            self.outcome_unknown.add(write_id)
        return token

    def _read(self, random_source, token, own_writes):
        staleness = random_source.choice([0, 500, 5000])
        answer = self._post(random_source, {
            "database": "demo.database-1", "access": "read",
            "sql": "SELECT id FROM written", "session_token": token,
            "max_staleness_ms": staleness, "deadline_ms": 3000})
        if answer is None:
            with self.lock:
                self.lost_answers += 1
            return token
        status, content = answer
        with self.lock:
            self.answer_count += 1
        if status != 200:
            return token
        seen = {row[0] for row in content["result"]["rows"]}
        missing = [write_id for write_id in own_writes if write_id not in seen]
        if missing:
            with self.lock:
                self.violations.append(("read_your_writes", missing[:3]))
        return content["session_token"]

    def longest_write_gap(self):
        """Returns the longest time between two acknowledged writes, in seconds."""
        times = sorted(self.acknowledged_at)
        return max((b - a for a, b in zip(times, times[1:])), default=0.0)

    def check(self, instance):
        """Reads all rows back. Returns a text for each violation."""
        status, content = self.system.send_statement(
            instance, "SELECT id FROM written", max_staleness_ms=0,
            deadline_ms=10000)
        if status != 200:
            return [f"cannot read back: {content}"]
        rows = [row[0] for row in content["result"]["rows"]]
        problems = [str(each) for each in self.violations]
        problems += [f"acknowledged write {each} is lost"
                     for each in self.acknowledged - set(rows)]
        problems += [f"write {each} was applied although refused as not_run"
                     for each in self.not_run & set(rows)]
        if len(rows) != len(set(rows)):
            problems.append("a write is present twice")
        return problems

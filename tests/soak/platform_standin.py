"""Stand-in for the platform: conditional row writes, promotions, server reports.

One HTTP/1.1 server for the store and one for promotions, each with faults that
a test switches on.
"""

import asyncio
import base64
import json
import time
import urllib.parse


class Platform:
    """Row store and promotion service of the database groups."""

    def __init__(self, groups, host, port):
        self.groups = {group.name: group for group in groups}
        self.host, self.port = host, port
        self.rows, self.changes, self.version = {}, [], 0
        # Raised by each restore; (time, rows, version) of earlier moments.
        self.era, self.copies = 0, []
        self.changed = asyncio.Event()
        # "up", "busy" (answers 503) or "silent" (does not answer).
        self.mode = "up"
        self.answer_loss_probability = 0.0
        # Share of the promotions that get no answer and are carried out seconds later.
        self.late_promotion_probability, self.late_promotions = 0.0, 0
        self.delay = 0.002
        self.started = time.monotonic()
        self.random = None
        self.configuration = ""

    async def start(self):
        await asyncio.start_server(self.serve, self.host, self.port)
        await asyncio.start_server(self.serve, self.host, self.port + 1)

    def put(self, table, part, key, value):
        self.version += 1
        if (table, key) == ("op", "config"):
            self.configuration = value
        encoded = base64.b64encode(value.encode()).decode()
        row = {
            "table": table, "part": part, "key": key,
            "value": encoded, "row-version": self.version,
        }
        self.rows[(table, part, key)] = row
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def restore_older_copy(self):
        """Replaces all rows by those of some seconds ago."""
        _, rows, version = self.copies[0]
        self.rows, self.version = dict(rows), version
        self.changes = [row for row in self.changes if row["row-version"] <= version]
        self.era += 1
        self.copies = []
        # The operator writes again what it wrote since.
        if self.configuration:
            self.put("op", "", "config", self.configuration)

    def keep_copy(self):
        now = time.monotonic()
        self.copies = [each for each in self.copies if now - each[0] < 3.0]
        self.copies.append((now, dict(self.rows), self.version))

    def remove(self, table, part, key):
        if self.rows.pop((table, part, key), None):
            self.version += 1

    async def report_servers(self):
        """Writes rows of live servers, removes those of dead ones, until cancelled."""
        last_alive = {}
        while True:
            for group in self.groups.values():
                for server in group.servers + group.left_servers:
                    silence = time.monotonic() - last_alive.get(server.name, 0)
                    if server.alive and not server.cut_from_store:
                        last_alive[server.name] = time.monotonic()
                        self.put("servers", "", server.name, self.server_row(server))
                        if server.leaving and server.leave_accepted_at is None:
                            server.leave_accepted_at = time.monotonic()
                    elif server.left or silence > 3.6:
                        self.remove("servers", "", server.name)
            self.keep_copy()
            await asyncio.sleep(0.4)

    def server_row(self, server):
        return json.dumps({
            "service": server.group.name,
            "address": f"{getattr(server, 'entry_host', server.host)}:{server.port}",
            "zone": "z1",
            "version": "v1", "slots": 2,
            "state": "draining" if server.draining or server.leaving else "ready",
            "cold-remaining-ms": 0,
            "db-role": "primary" if server.is_leader else "replica",
            "seq": 1, "born": server.incarnation,
        })

    async def serve(self, reader, writer):
        try:
            while await self.handle_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        writer.close()

    async def handle_request(self, reader, writer):
        request_line = (await reader.readline()).decode().split()
        if len(request_line) < 3:
            return False
        headers = {}
        while header := (await reader.readline()).decode().strip():
            name, _, value = header.partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size) if size else b"{}"
        await asyncio.sleep(self.delay)
        if self.mode == "silent":
            await asyncio.sleep(30)
            return False
        if self.mode == "busy":
            status, answer = 503, {}
        elif self.delays_promotion(request_line[1], body, headers):
            await asyncio.sleep(30)
            return False
        else:
            status, answer = await self.answer(request_line[1], body, headers)
            answer_lost = (request_line[0] == "POST"
                           and self.random.random() < self.answer_loss_probability)
            if answer_lost:
                return False
        text = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode()
            + text
        )
        await writer.drain()
        return True

    def delays_promotion(self, target, body, headers):
        """Draws whether a promotion gets no answer and is carried out seconds later."""
        if target != "/promote" or self.late_promotion_probability == 0:
            return False
        if self.random.random() >= self.late_promotion_probability:
            return False
        self.late_promotions += 1
        asyncio.get_running_loop().call_later(
            2 + self.random.random() * 6, *self.receive_promotion(body, headers))
        return True

    def receive_promotion(self, body, headers):
        """Returns the call that carries the promotion out."""
        request = json.loads(body)
        token = int(headers["x-plantaintiller-fencing-token"])
        group = self.groups[request["service"]]
        group.check_received_token(request["id"], token)
        return group.promote, request["id"], token

    async def answer(self, target, body, headers):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/promote":
            promote, *arguments = self.receive_promotion(body, headers)
            return promote(*arguments), {}
        if url.path == "/-/rows-get":
            rows = [
                row for (table, part, key), row in sorted(self.rows.items())
                if table == query["table"] and part == query.get("part", "")
                and key >= query.get("from", "")
            ]
            return 200, self.envelope(rows)
        if url.path == "/-/rows-feed":
            return await self.wait_for_changes(query)
        if url.path == "/-/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    def envelope(self, rows):
        now = int((time.monotonic() - self.started) * 1000)
        return {
            "rows": rows, "truncated": False,
            "row-version": self.version, "now-ms": now,
        }

    async def wait_for_changes(self, query):
        """Long poll: returns rows newer than `after`, or none after `wait-ms`."""
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        after = int(query["after"])
        era = self.era
        while True:
            if after > self.version or self.era != era:
                return 410, {}
            rows = [
                row for row in self.changes
                if row["table"] == query["table"] and row["row-version"] > after
            ]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return 200, self.envelope(rows)
            try:
                async with asyncio.timeout(remaining):
                    await self.changed.wait()
            except asyncio.TimeoutError:
                pass

    def transact(self, request):
        """Writes rows if all expected row versions match; otherwise answers 412."""
        for row in request["expected"]:
            key = (row["table"], row["part"], row["key"])
            current = self.rows.get(key)
            if (current["row-version"] if current else 0) != row["row-version"]:
                return 412, self.envelope([current] if current else [])
        for row in request["writes"]:
            self.put(
                row["table"], row["part"], row["key"],
                base64.b64decode(row["value"]).decode(),
            )
        return 200, self.envelope([])

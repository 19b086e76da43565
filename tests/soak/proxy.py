"""Loopback proxy that delays, resets or silences connections to one server."""

import asyncio


class Proxy:
    """Forwards accepted connections to the target, with injected faults."""

    def __init__(self, host, port, target_host, target_port):
        self.address = (host, port)
        self.target = (target_host, target_port)
        self.delay = 0.0
        # Directions that forward nothing: "up" to the server, "down" to the client.
        self.blocked_directions = set()
        self.links = set()
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.accept, *self.address)

    def stop(self):
        self.listener.close()
        self.reset()

    def reset(self):
        for link in list(self.links):
            link.abort()

    def silence(self):
        """Stops forwarding on open connections; new connections work."""
        for link in self.links:
            link.silent = True

    async def accept(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        link = Link(self, writer, up_writer)
        self.links.add(link)
        await asyncio.gather(
            link.forward(reader, up_writer, "up"),
            link.forward(up_reader, writer, "down"),
        )
        self.links.discard(link)


class Link:
    """One proxied connection."""

    def __init__(self, proxy, *writers):
        self.proxy, self.writers, self.silent = proxy, writers, False

    def abort(self):
        for writer in self.writers:
            writer.transport.abort()

    async def forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(self.proxy.delay)
                while self.silent or direction in self.proxy.blocked_directions:
                    await asyncio.sleep(0.05)
                    # Held bytes are lost if their sender resets the connection;
                    # after an orderly close they still arrive.
                    if writer.is_closing() or reader.exception() is not None:
                        return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        self.abort()

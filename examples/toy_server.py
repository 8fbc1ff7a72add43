"""A toy discovery service and two toy targets on loopback, for trying out stalltiller.

Discovery listens on 127.0.0.1:8500, the address in examples/config.json.  The targets store the bodies of
writes in memory and return them for reads.  Only the standard library is needed.
"""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

DISCOVERY_PORT = 8500
SERVICE_TIME_SECONDS = 0.02


class BaseHandler(BaseHTTPRequestHandler):
    """Sends responses for both servers."""

    protocol_version = "HTTP/1.1"

    def respond(self, status: int, body: bytes, **fields: str) -> None:
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: object) -> None:
        """Log nothing."""


class TargetHandler(BaseHandler):
    """Stores bodies under the last segment of the path."""

    def do_GET(self) -> None:
        time.sleep(SERVICE_TIME_SECONDS)
        key = self.path.rsplit("/", 1)[-1]
        self.respond(200, self.server.bodies.get(key, b"nothing yet\n"), X_Server_Load="TEXT mean_ms=20.0")

    def do_PUT(self) -> None:
        time.sleep(SERVICE_TIME_SECONDS)
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.bodies[self.path.rsplit("/", 1)[-1]] = body
        self.respond(200, b"kept\n")


class DiscoveryHandler(BaseHandler):
    """Lists the targets; the list never changes, so a poll for changes is held for all of `wait_ms`."""

    def do_GET(self) -> None:
        query = parse_qs(urlsplit(self.path).query)
        targets = self.server.targets
        if "after" in query:
            time.sleep(int(query["wait_ms"][0]) / 1000)
            targets = []
        is_full = "after" not in query
        self.respond(200, json.dumps({"index": 1, "snapshot": is_full, "endpoints": targets}).encode())


def serve(port: int, handler: type[BaseHandler], **attributes: object) -> ThreadingHTTPServer:
    """Start a server in a new thread; handlers read `attributes` from their `server`."""
    server = ThreadingHTTPServer(("127.0.0.1", port), handler)
    server.daemon_threads = True
    vars(server).update(attributes)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def main() -> None:
    targets = []
    for shard in range(2):
        port = serve(0, TargetHandler, bodies={}).server_port
        targets.append(
            {
                "name": f"s-{shard}",
                "address": f"127.0.0.1:{port}",
                "zone": "bat-a",
                "type": "small-2c",
                "group": shard,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
        )
    serve(DISCOVERY_PORT, DiscoveryHandler, targets=targets)
    addresses = ", ".join(target["address"] for target in targets)
    print(f"discovery on 127.0.0.1:{DISCOVERY_PORT}, targets on {addresses}", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()

"""A target in the other building sends some answers twice; a client gets the answer to another's request.

One initiator, one target behind a network of 1.1 ms one way, and clients that send one request after another.
With the disruption, one answer in twenty comes a second time, 2 ms later, if no other request waits on its
connection by then.  Each answer names the request that it was made for.
"""

from __future__ import annotations

import json
import queue
import random
import socket
import threading
import time
from pathlib import Path

from review import stand_ins
from review.stand_ins import Case, Client, Discovery, Server, Stream

SEED = 7
ONE_WAY_SECONDS = 0.0011  # between the buildings it takes 0.7 to 1.3 ms
SECOND_ANSWER_AFTER_SECONDS = 0.002
SPOILT_FRACTION = 0.05
WORK_SECONDS = 0.012
CLIENTS = 4
RUN_SECONDS = 20.0
MEAN_PAUSE_SECONDS = 0.02  # of a client between two requests
SETTLE_SECONDS = 1.5


class Target:
    """Serves each request with a body that names it, and sends some answers a second time."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._rng = random.Random(SEED)
        self._lock = threading.Lock()
        self.made: dict[str, bytes] = {}  # the body that was made for each request
        self.server = Server(self._serve)

    def _serve(self, stream: Stream) -> None:
        while (message := stream.read()) is not None:
            request_id = message.fields["x-request-id"]
            time.sleep(WORK_SECONDS)
            body = f"made for {request_id}, {message.start[0]} {message.start[1]}".encode()
            with self._lock:
                self.made[request_id] = body
                is_spoilt = self._case.has_trouble and self._rng.random() < SPOILT_FRACTION
            answer = stand_ins.response(200, body, X_Server_Load="TEXT mean_ms=12.0")
            self._case.record("target_answered", id=request_id)
            if not stream.send(answer):
                return
            if is_spoilt:
                time.sleep(SECOND_ANSWER_AFTER_SECONDS)
                if not stream.has_unread():  # nothing else waits on the connection
                    self._case.record("target_answered_again", id=request_id)
                    stream.send(answer)


class Network:
    """Delays what passes between the initiator and the target, in both directions and in order."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.server = Server(self._serve)

    def _serve(self, stream: Stream) -> None:
        target = Stream(socket.create_connection((stand_ins.HOST, self._port)))
        back = threading.Thread(target=self._forward, args=(target, stream), daemon=True)
        back.start()
        self._forward(stream, target)
        back.join(5.0)

    @staticmethod
    def _forward(source: Stream, sink: Stream) -> None:
        pieces: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()

        def deliver() -> None:
            while True:
                due_at, data = pieces.get()
                time.sleep(max(0.0, due_at - time.monotonic()))
                if not data or not sink.send(data):
                    sink.close()
                    return

        threading.Thread(target=deliver, daemon=True).start()
        while True:
            try:
                data = source.connection.recv(1 << 16)
            except OSError:
                data = b""
            pieces.put((time.monotonic() + ONE_WAY_SECONDS, data))
            if not data:
                return


def run(case: Case, folder: Path) -> list[str]:
    """Run the case and return the answers that were made for another request."""
    target = Target(case)
    discovery = Discovery(case.record)
    discovery.set("s-0", Network(target.server.port).server.port, 0)
    port = stand_ins.free_port()
    config = json.loads((stand_ins.ROOT / "examples" / "config.json").read_text())
    config.update(listen=f"{stand_ins.HOST}:{port}", discovery=f"{stand_ins.HOST}:{discovery.server.port}")
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    case.start("n1", PROXY_CONFIG=str(path), TMPDIR=str(folder))
    stand_ins.wait_until(lambda: stand_ins.is_healthy(port), 20.0, "the initiator is ready")
    breaks: list[str] = []
    served = [0] * CLIENTS
    ends_at = time.monotonic() + RUN_SECONDS

    def send_requests(number: int) -> None:
        rng = random.Random(SEED + number)
        client = Client(port)
        count = 0
        while time.monotonic() < ends_at:
            count += 1
            request_id = f"c{number}-{count}"
            is_write = rng.random() < 0.3
            data = stand_ins.request(
                "order-write" if is_write else "order-read",
                number << 32 | count,
                request_id,
                method="PUT" if is_write else "GET",
                volume=0x3B4D60000 + number,
                timeout=2.5 if is_write else 1.2,
                body=request_id.encode() if is_write else b"",
            )
            case.record("client_sent", id=request_id, kind="write" if is_write else "read")
            answer = client.ask(data)
            status = "none" if answer is None else answer.start[1]
            body = b"" if answer is None else answer.body
            case.record("client_answered", id=request_id, status=status, body=body.decode())
            if status == "200":
                served[number] += 1
                if body != target.made.get(request_id):
                    kind = "write" if is_write else "read"
                    breaks.append(f"{kind} {request_id} was answered 200 with what was {body.decode()!r}")
            time.sleep(2 * MEAN_PAUSE_SECONDS * rng.random())

    clients = [
        threading.Thread(target=send_requests, args=(number,), daemon=True) for number in range(CLIENTS)
    ]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()
    time.sleep(SETTLE_SECONDS)
    if sum(served) < 100:
        raise stand_ins.CaseError(f"only {sum(served)} requests were served")
    return breaks


if __name__ == "__main__":
    stand_ins.main(__file__, run)

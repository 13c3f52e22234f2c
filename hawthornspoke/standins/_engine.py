"""Simulated model engine with an OpenAI-style API and an API to load weights.

Each generated token contains the digest of the bytes that were actually loaded, so
that tests detect responses from partial or mixed weights.
"""

import json
import os
import threading
import time
import uuid

from hawthornspoke.base import digest_of
from hawthornspoke.config import Manifest
from hawthornspoke.standins._faults import FAULTS_PATH, Faults
from hawthornspoke.web import HttpServer, Response, json_response

DEFAULT_TOKENS = 8
PREFIX_CHARACTERS = 64


class _LoadedWeights:
    __slots__ = ("actual_digest", "size", "base")

    def __init__(self, *, actual_digest, size, base):
        self.actual_digest = actual_digest
        self.size = size
        self.base = base


class Engine:
    """A simulated engine process.

    Parameters
    ----------
    address : str
    port : int
    slots : int, default=8
        Maximum batch size in requests.
    token_seconds : float, default=0.01
        Duration of one decoding step for an empty batch.
    prefill_seconds : float, default=0.01
        Time to first token in seconds; a cached prefix reduces it to a quarter.
    memory : int, default=0
        Capacity for loaded weights in bytes; 0 for no limit.
    checks_fencing : bool, default=True
        Whether calls to load or unload weights are rejected if another agent has since
        used a higher fencing token.
    prefixes : int, default=64
        Capacity of the prefix cache, in prefixes.

    Notes
    -----
    Faults: ``fail_share`` (fraction of requests answered immediately with 500),
    ``slow_factor`` (multiplier of prefill and decoding times),
    ``die_after_tokens`` (streams are aborted after this many tokens),
    ``load_seconds`` (duration of a load), ``refuse_load`` (loads fail with 500),
    ``exit_on_prompt`` (a prompt with this text ends the process).
    """

    __slots__ = (
        "address",
        "port",
        "slots",
        "token_seconds",
        "prefill_seconds",
        "memory",
        "checks_fencing",
        "prefixes",
        "faults",
        "instance",
        "fence",
        "loaded_by_digest",
        "runs",
        "cancelled",
        "_staged_by_digest",
        "_cached_prefixes",
        "_prefix_hits",
        "_running",
        "_requests",
        "_lock",
        "_server",
    )

    def __init__(
        self,
        *,
        address,
        port,
        slots=8,
        token_seconds=0.01,
        prefill_seconds=0.01,
        memory=0,
        checks_fencing=True,
        prefixes=64,
    ):
        self.address = address
        self.port = port
        self.slots = slots
        self.token_seconds = token_seconds
        self.prefill_seconds = prefill_seconds
        self.memory = memory
        self.checks_fencing = checks_fencing
        self.prefixes = prefixes
        self.faults = Faults(
            defaults={
                "fail_share": 0.0,
                "slow_factor": 1.0,
                "die_after_tokens": 0,
                "load_seconds": 0.0,
                "refuse_load": False,
                "exit_on_prompt": "",
            }
        )
        self.instance = uuid.uuid4().hex
        self.fence = 0
        self.loaded_by_digest = {}
        self.runs = []
        self.cancelled = []
        self._staged_by_digest = {}
        self._cached_prefixes = []
        self._prefix_hits = 0
        self._running = 0
        self._requests = 0
        self._lock = threading.Lock()
        self._server = HttpServer(
            address=address, port=port, handler=self._handle, threads=slots * 2 + 24
        )

    def open(self):
        """Start serving."""
        self._server.open()

    def close(self):
        """Stop serving."""
        self._server.close()

    def _handle(self, request):
        path = request.path
        if path == FAULTS_PATH:
            return self.faults.handle(request)
        if path == "/state":
            return json_response(self._state())
        if path == "/runs":
            return json_response({"runs": self.runs, "cancelled": self.cancelled})
        if path.startswith("/weights/"):
            return self._handle_weights(request)
        if path == "/orders":
            return self._handle_order(request.json())
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self._handle_completion(request)
        return Response(status=404)

    def _state(self):
        with self._lock:
            return {
                "instance": self.instance,
                "fence": self.fence,
                "loaded": sorted(self.loaded_by_digest),
                "memory": self.memory,
                "used": self._used_bytes(),
                "running": self._running,
                "prefix_hits": self._prefix_hits,
                "requests": self._requests,
            }

    def _used_bytes(self):
        return sum(item.size for item in self.loaded_by_digest.values())

    def _handle_weights(self, request):
        if request.method == "DELETE":
            with self._lock:
                self._staged_by_digest.pop(request.path.split("/")[2], None)
            return Response()
        _, _, digest, index = request.path.split("/")
        with self._lock:
            staged = self._staged_by_digest.setdefault(digest, {})
            staged[int(index)] = request.body
        return Response()

    def _handle_order(self, order):
        if self.checks_fencing and order["fence"] < self.fence:
            return json_response({"error": "old fencing number"}, status=409)
        self.fence = max(self.fence, order["fence"])
        if order["kind"] == "load":
            return self._load(order)
        if order["kind"] == "unload":
            with self._lock:
                self.loaded_by_digest.pop(order["digest"], None)
            return json_response({})
        return json_response({"error": "unknown order"}, status=400)

    def _load(self, order):
        if self.faults["refuse_load"]:
            return json_response({"error": "load refused by fault"}, status=500)
        time.sleep(self.faults["load_seconds"])
        digest = order["digest"]
        base = order.get("base", "")
        with self._lock:
            staged = self._staged_by_digest.pop(digest, {})
            chunks = [staged[index] for index in sorted(staged)]
            size = sum(len(chunk) for chunk in chunks)
            if base and base not in self.loaded_by_digest:
                return json_response({"error": "base is not loaded"}, status=409)
            if self.memory and self._used_bytes() + size > self.memory:
                return json_response({"error": "out of memory"}, status=507)
            actual_digest = Manifest(
                chunks=[digest_of(chunk) for chunk in chunks],
                chunk_size=order["chunk_size"],
                size=size,
            ).digest
            loaded = _LoadedWeights(actual_digest=actual_digest, size=size, base=base)
            self.loaded_by_digest[digest] = loaded
        return json_response({})

    def _handle_completion(self, request):
        body = request.json() or {}
        request_id = request.headers.get("x-request-id", "")
        with self._lock:
            self._requests += 1
            loaded = self.loaded_by_digest.get(body.get("model", ""))
            if loaded is None:
                return json_response({"error": "model is not loaded"}, status=404)
            if self._running >= self.slots * 2:
                return json_response({"error": "overloaded"}, status=429)
            if self._should_fail():
                return json_response({"error": "failed by fault"}, status=500)
            self._running += 1
            self.runs.append(request_id)
        tokens = self._generate_tokens(request_id, loaded, body)
        if body.get("stream"):
            return Response(
                headers={"Content-Type": "text/event-stream"},
                body=_encode_events(tokens, body),
            )
        text = "".join(tokens)
        return json_response({"object": "text_completion", **_choice(text, body)})

    def _should_fail(self):
        share = self.faults["fail_share"]
        return int(self._requests * share) > int((self._requests - 1) * share)

    def _generate_tokens(self, request_id, loaded, body):
        prompt = json.dumps(body.get("messages") or body.get("prompt") or "")
        token_prefix = f"{loaded.actual_digest[:12]}:{digest_of(prompt.encode())[:6]}"
        first_position = int(body.get("resume_from") or 0)
        try:
            time.sleep(self._prefill_duration(prompt) * self.faults["slow_factor"])
            exit_prompt = self.faults["exit_on_prompt"]
            if exit_prompt and exit_prompt in prompt:
                os._exit(1)
            for position in range(
                first_position, int(body.get("max_tokens", DEFAULT_TOKENS))
            ):
                limit = self.faults["die_after_tokens"]
                if limit and position - first_position >= limit:
                    raise ConnectionResetError("stream cut by fault")
                time.sleep(self._decode_duration())
                yield f"{token_prefix}:{position} "
        except GeneratorExit:
            self.cancelled.append(request_id)
            raise
        finally:
            with self._lock:
                self._running -= 1

    def _decode_duration(self):
        occupancy = self._running / self.slots
        batch_factor = 1.0 + max(0.0, occupancy - 0.5)
        return self.token_seconds * batch_factor * self.faults["slow_factor"]

    def _prefill_duration(self, prompt):
        prefix = prompt[:PREFIX_CHARACTERS]
        with self._lock:
            hit = prefix in self._cached_prefixes
            if hit:
                self._cached_prefixes.remove(prefix)
                self._prefix_hits += 1
            self._cached_prefixes.append(prefix)
            del self._cached_prefixes[: -self.prefixes]
        return self.prefill_seconds * (0.25 if hit else 1.0)


def _choice(text, body):
    if "messages" in body:
        message = {"role": "assistant", "content": text}
        return {"choices": [{"index": 0, "message": message}]}
    return {"choices": [{"index": 0, "text": text}]}


def _encode_events(tokens, body):
    for token in tokens:
        if "messages" in body:
            choice = {"index": 0, "delta": {"content": token}}
        else:
            choice = {"index": 0, "text": token}
        yield b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"
    yield b"data: [DONE]\n\n"

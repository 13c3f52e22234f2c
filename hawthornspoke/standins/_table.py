"""Simulated transactional table with the parts of DynamoDB's JSON protocol in use."""

import json
import threading
import time

from hawthornspoke.standins._faults import Faults
from hawthornspoke.web import Response, json_response

TRANSACTION_CANCELED = "com.amazonaws.dynamodb.v20120810#TransactionCanceledException"


class Table:
    """In-memory table with conditional writes, operation counters and faults.

    Notes
    -----
    Faults: ``table_down`` (503 without any effect), ``table_delay`` (delay of
    each request in seconds), ``table_lost_answers`` (number of writes to apply
    without delivering the response).
    """

    __slots__ = ("faults", "rows", "reads", "writes", "_lock")

    def __init__(self):
        self.faults = Faults(
            defaults={"table_down": False, "table_delay": 0, "table_lost_answers": 0}
        )
        self.rows = {}
        self.reads = 0
        self.writes = 0
        self._lock = threading.Lock()

    def handle(self, request):
        """Handle one request of the DynamoDB JSON protocol."""
        if self.faults["table_delay"]:
            time.sleep(self.faults["table_delay"])
        if self.faults["table_down"]:
            return _error_response("ServiceUnavailable", 503)
        operation = request.headers.get("x-amz-target", "").rpartition(".")[2]
        body = request.json() or {}
        if operation == "GetItem":
            return self._get(body)
        if operation == "TransactWriteItems":
            response = self._write(body)
            if response.status == 200 and self.faults.consume("table_lost_answers"):
                return Response(body=_drop_connection())
            return response
        return _error_response("UnknownOperationException", 400)

    def _get(self, body):
        self.reads += 1
        with self._lock:
            row = self.rows.get(body["Key"]["pk"]["S"])
        return json_response({} if row is None else {"Item": row})

    def _write(self, body):
        puts = [entry["Put"] for entry in body["TransactItems"]]
        with self._lock:
            for put in puts:
                current_row = self.rows.get(put["Item"]["pk"]["S"])
                if not _condition_holds(put, current_row):
                    return _error_response(TRANSACTION_CANCELED, 400)
            for put in puts:
                self.rows[put["Item"]["pk"]["S"]] = put["Item"]
            self.writes += len(puts)
        return json_response({})


def _condition_holds(put, row):
    """Return whether a put's condition expression holds for the current row."""
    expression = put.get("ConditionExpression", "")
    if not expression:
        return True
    alternatives = expression.split(" OR ")
    return any(_all_terms_hold(terms, put, row) for terms in alternatives)


def _all_terms_hold(terms, put, row):
    for term in terms.split(" AND "):
        if term.startswith("attribute_not_exists"):
            if row is not None:
                return False
            continue
        name, _, value = term.partition(" = ")
        expected = put["ExpressionAttributeValues"][value]
        if row is None or row.get(put["ExpressionAttributeNames"][name]) != expected:
            return False
    return True


def _error_response(error_type, status):
    body = json.dumps({"__type": error_type, "message": error_type}).encode()
    headers = {"Content-Type": "application/x-amz-json-1.0"}
    return Response(status=status, headers=headers, body=body)


def _drop_connection():
    """Yield a truncated body, so that an applied write is not acknowledged."""
    yield b"{"
    raise ConnectionResetError("response dropped by injected fault")

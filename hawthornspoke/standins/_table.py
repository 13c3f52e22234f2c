"""Stand-in for the transactional table: the DynamoDB JSON subset in use."""

import json
import threading
import time

from hawthornspoke.standins._faults import Faults
from hawthornspoke.web import Response, json_response

CONDITION_FAILED = "com.amazonaws.dynamodb.v20120810#TransactionCanceledException"


class Table:
    """Rows in memory, with conditions, counters and faults.

    Notes
    -----
    Faults: ``table_down`` (answers 503 and does nothing), ``table_delay``
    (seconds before each answer), ``table_lost_answers`` (that many writes are
    made and their connection then dropped).
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
        """Answer one request of the table's protocol."""
        if self.faults["table_delay"]:
            time.sleep(self.faults["table_delay"])
        if self.faults["table_down"]:
            return _error("ServiceUnavailable", 503)
        operation = request.headers.get("x-amz-target", "").rpartition(".")[2]
        body = request.json() or {}
        if operation == "GetItem":
            return self._get(body)
        if operation == "TransactWriteItems":
            answer = self._write(body)
            if answer.status == 200 and self.faults.take("table_lost_answers"):
                return Response(body=_drop_connection())
            return answer
        return _error("UnknownOperationException", 400)

    def _get(self, body):
        self.reads += 1
        with self._lock:
            item = self.rows.get(body["Key"]["pk"]["S"])
        return json_response({} if item is None else {"Item": item})

    def _write(self, body):
        puts = [item["Put"] for item in body["TransactItems"]]
        with self._lock:
            for put in puts:
                before = self.rows.get(put["Item"]["pk"]["S"])
                if not _holds(put, before):
                    return _error(CONDITION_FAILED, 400)
            for put in puts:
                self.rows[put["Item"]["pk"]["S"]] = put["Item"]
            self.writes += len(puts)
        return json_response({})


def _holds(put, item):
    """Tell whether a condition expression of the subset holds for a row."""
    expression = put.get("ConditionExpression", "")
    if not expression:
        return True
    alternatives = expression.split(" OR ")
    return any(_all_hold(terms, put, item) for terms in alternatives)


def _all_hold(terms, put, item):
    for term in terms.split(" AND "):
        if term.startswith("attribute_not_exists"):
            if item is not None:
                return False
            continue
        name, _, value = term.partition(" = ")
        wanted = put["ExpressionAttributeValues"][value]
        if item is None or item.get(put["ExpressionAttributeNames"][name]) != wanted:
            return False
    return True


def _error(kind, status):
    body = json.dumps({"__type": kind, "message": kind}).encode()
    headers = {"Content-Type": "application/x-amz-json-1.0"}
    return Response(status=status, headers=headers, body=body)


def _drop_connection():
    """Yield a body that breaks off: the answer is lost, the write is made."""
    yield b"{"
    raise ConnectionResetError("answer lost by fault")

"""The platform's transactional table, by the DynamoDB JSON protocol (a subset).

References
----------
.. [1] Amazon DynamoDB API Reference, version 2012-08-10: GetItem,
       TransactWriteItems, Query.
"""

import json

from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import CONFLICT, NOT_FOUND, UNAVAILABLE, UNSURE

TARGET = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
CONDITION_FAILED = ("ConditionalCheckFailed", "TransactionCanceled")


class Condition:
    """What must hold for a write.

    Parameters
    ----------
    absent : bool, default=False
        The row must not exist.
    equals : dict or None, default=None
        Attributes that must have these values. With ``absent`` either may hold.
    """

    __slots__ = ("absent", "equals")

    def __init__(self, *, absent=False, equals=None):
        self.absent = absent
        self.equals = equals

    def to_request(self):
        """Return the condition in the protocol's words.

        Returns
        -------
        dict
        """
        if not self.equals:
            return {"ConditionExpression": "attribute_not_exists(pk)"}
        names, values, terms = {}, {}, []
        for place, (name, value) in enumerate(sorted((self.equals or {}).items())):
            names[f"#n{place}"] = name
            values[f":v{place}"] = _attribute(value)
            terms.append(f"#n{place} = :v{place}")
        expression = " AND ".join(terms)
        if self.absent:
            expression = "attribute_not_exists(pk) OR " + expression
        return {
            "ConditionExpression": expression,
            "ExpressionAttributeNames": names,
            "ExpressionAttributeValues": values,
        }


class TableClient:
    """Rows by key, written under conditions.

    Parameters
    ----------
    http : HttpClient
    table : str, default="hawthornspoke"
    """

    __slots__ = ("http", "table")

    def __init__(self, *, http, table="hawthornspoke"):
        self.http = http
        self.table = table

    def get(self, key, *, timeout=None):
        """Read one row, as of the latest finished write.

        Parameters
        ----------
        key : str
        timeout : float or None, default=None

        Returns
        -------
        dict or Failure
            ``NOT_FOUND`` if there is no row.
        """
        request = {
            "TableName": self.table,
            "Key": {"pk": _attribute(key)},
            "ConsistentRead": True,
        }
        answer = self._call("GetItem", request, timeout=timeout)
        if is_failure(answer):
            # A read changes nothing, so a lost answer is only unavailability.
            return UNAVAILABLE.because(answer.reason, retry_after=answer.retry_after)
        if "Item" not in answer:
            return NOT_FOUND.because(f"no row {key!r}")
        return {name: _plain(value) for name, value in answer["Item"].items()}

    def put(self, row, *, condition=None, timeout=None):
        """Write one row under a condition.

        Parameters
        ----------
        row : dict
            With its key as ``pk``.
        condition : Condition or None, default=None
        timeout : float or None, default=None

        Returns
        -------
        None or Failure
            ``CONFLICT``, ``UNAVAILABLE`` (not written) or ``UNSURE``.
        """
        return self.put_all([(row, condition)], timeout=timeout)

    def put_all(self, writes, *, timeout=None):
        """Write several rows, all or none.

        Parameters
        ----------
        writes : list of (dict, Condition or None)
        timeout : float or None, default=None

        Returns
        -------
        None or Failure
        """
        items = []
        for row, condition in writes:
            put = {
                "TableName": self.table,
                "Item": {name: _attribute(value) for name, value in row.items()},
            }
            if condition is not None:
                put.update(condition.to_request())
            items.append({"Put": put})
        answer = self._call(
            "TransactWriteItems", {"TransactItems": items}, timeout=timeout
        )
        return answer if is_failure(answer) else None

    def _call(self, operation, request, *, timeout):
        answer = self.http.request(
            "POST",
            "/",
            body=json.dumps(request).encode(),
            headers={"X-Amz-Target": TARGET + operation, "Content-Type": CONTENT_TYPE},
            timeout=timeout,
        )
        if is_failure(answer):
            return answer
        if answer.status == 200:
            return _json(answer.data, UNSURE)
        return _refusal(answer)


def _refusal(answer):
    """Return the failure that an error answer of the table stands for."""
    error = _json(answer.data, None) or {}
    kind = str(error.get("__type", ""))
    if any(name in kind for name in CONDITION_FAILED):
        return CONFLICT.because(str(error.get("message", "")))
    if answer.status >= 500 and "Unavailable" not in kind:
        # An internal error is not a refusal: the write may have been made.
        return UNSURE.because(f"table answered {answer.status}", retry_after=1.0)
    return UNAVAILABLE.because(f"table answered {answer.status}", retry_after=1.0)


def _json(data, failure):
    try:
        return json.loads(data)
    except ValueError:
        return failure if failure is None else failure.because("unreadable answer")


def _attribute(value):
    if isinstance(value, bool):
        return {"BOOL": value}
    if isinstance(value, int):
        return {"N": str(value)}
    return {"S": str(value)}


def _plain(attribute):
    if "N" in attribute:
        return int(attribute["N"])
    if "BOOL" in attribute:
        return attribute["BOOL"]
    return attribute.get("S", "")

"""Client for the platform's transactional table: a DynamoDB JSON API subset.

References
----------
.. [1] Amazon DynamoDB API Reference, version 2012-08-10: GetItem,
       TransactWriteItems, Query.
"""

import json

from hawthornspoke import fields
from hawthornspoke.base import is_failure
from hawthornspoke.store._failures import (
    CONFLICT,
    NOT_FOUND,
    UNAVAILABLE,
    WRITE_UNCONFIRMED,
)

TARGET_PREFIX = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
CONFLICT_ERRORS = ("ConditionalCheckFailed", "TransactionCanceled")


class Condition:
    """Precondition of a write.

    Parameters
    ----------
    absent : bool, default=False
        The row must not exist.
    equals : dict or None, default=None
        Values that the row must have, by attribute name. If ``absent`` is set too, it
        suffices that one of the two holds.
    """

    __slots__ = ("absent", "equals")

    def __init__(self, *, absent=False, equals=None):
        self.absent = absent
        self.equals = equals

    def to_request(self):
        """Return the condition as parameters of a ``Put`` request.

        Returns
        -------
        dict
        """
        if not self.equals:
            return {"ConditionExpression": "attribute_not_exists(pk)"}
        names, values, terms = {}, {}, []
        for index, (name, value) in enumerate(sorted((self.equals or {}).items())):
            names[f"#n{index}"] = name
            values[f":v{index}"] = _encode_attribute(value)
            terms.append(f"#n{index} = :v{index}")
        expression = " AND ".join(terms)
        if self.absent:
            expression = "attribute_not_exists(pk) OR " + expression
        return {
            "ConditionExpression": expression,
            "ExpressionAttributeNames": names,
            "ExpressionAttributeValues": values,
        }


class TableClient:
    """Reads rows by key and writes them conditionally.

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
        """Read one row with strong consistency.

        Parameters
        ----------
        key : str
        timeout : float or None, default=None

        Returns
        -------
        dict or Failure
            ``NOT_FOUND`` if the row does not exist.
        """
        request = {
            "TableName": self.table,
            "Key": {"pk": _encode_attribute(key)},
            "ConsistentRead": True,
        }
        response = self._send("GetItem", request, timeout=timeout)
        if is_failure(response):
            # A read has no side effects, so a lost response only means that the table
            # is unavailable.
            return UNAVAILABLE.with_reason(
                response.reason, retry_after=response.retry_after
            )
        if "Item" not in response:
            return NOT_FOUND.with_reason(f"row {key!r} does not exist")
        try:
            item = fields.child(response, "Item")
            return {name: _decode_attribute(item, name) for name in item}
        except fields.FieldError as error:
            return UNAVAILABLE.with_reason(f"cannot decode row {key!r}: {error}")

    def put(self, row, *, condition=None, timeout=None):
        """Write one row, optionally under a condition.

        Parameters
        ----------
        row : dict
            Attributes of the row, with its key as ``pk``.
        condition : Condition or None, default=None
        timeout : float or None, default=None

        Returns
        -------
        None or Failure
            ``CONFLICT``, ``UNAVAILABLE`` (not written) or ``WRITE_UNCONFIRMED``.
        """
        return self.transact_put([(row, condition)], timeout=timeout)

    def transact_put(self, writes, *, timeout=None):
        """Write several rows in one transaction.

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
                "Item": {name: _encode_attribute(value) for name, value in row.items()},
            }
            if condition is not None:
                put.update(condition.to_request())
            items.append({"Put": put})
        response = self._send(
            "TransactWriteItems", {"TransactItems": items}, timeout=timeout
        )
        return response if is_failure(response) else None

    def _send(self, operation, request, *, timeout):
        response = self.http.request(
            "POST",
            "/",
            body=json.dumps(request).encode(),
            headers={
                "X-Amz-Target": TARGET_PREFIX + operation,
                "Content-Type": CONTENT_TYPE,
            },
            timeout=timeout,
        )
        if is_failure(response):
            return response
        if response.status == 200:
            return _parse_json(response.data, WRITE_UNCONFIRMED)
        return _error_to_failure(response)


def _error_to_failure(response):
    """Convert an error response from the table to a failure."""
    error = _parse_json(response.data, None) or {}
    error_type = str(error.get("__type", ""))
    if any(name in error_type for name in CONFLICT_ERRORS):
        return CONFLICT.with_reason(str(error.get("message", "")))
    if response.status >= 500 and "Unavailable" not in error_type:
        # The write may have been applied before the internal error occurred.
        return WRITE_UNCONFIRMED.with_reason(
            f"table returned HTTP {response.status}", retry_after=1.0
        )
    return UNAVAILABLE.with_reason(
        f"table returned HTTP {response.status}", retry_after=1.0
    )


def _parse_json(data, failure):
    try:
        return fields.parse_object(data)
    except fields.FieldError as error:
        return failure if failure is None else failure.with_reason(str(error))


def _encode_attribute(value):
    if isinstance(value, bool):
        return {"BOOL": value}
    if isinstance(value, int):
        return {"N": str(value)}
    return {"S": str(value)}


def _decode_attribute(item, name):
    attribute = fields.child(item, name)
    if "N" in attribute:
        return fields.integer_of_text(attribute, "N")
    if "BOOL" in attribute:
        return fields.flag(attribute, "BOOL")
    # Bodies of stored responses are longer than other texts.
    value = attribute.get("S", "")
    if not fields.is_text(value):
        raise fields.FieldError(f"{name}: expected a string")
    return value

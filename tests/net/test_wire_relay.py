"""Encoding of orders and decoding of call replies in the relay's protocol."""

import orjson
import pytest

from havendyke.fields import FieldError
from havendyke.interface import RetryPolicy
from havendyke.net.relay_orders import (
    AcknowledgementOrder,
    AdmissionOrder,
    ClearOrder,
    EjectionOrder,
    WeightOrder,
)
from havendyke.net.wire_relay import (
    CallApplied,
    CallRejected,
    Method,
    decode_call_reply,
    encode_call,
    encode_order,
    encoded_size,
)

ORDERS = [
    (WeightOrder(4, "s1", 0.5), {"op": "SET", "table": 4, "host": "s1", "share": 0.5}),
    (ClearOrder(4), {"op": "DEL", "table": 4}),
    (EjectionOrder("s1", ejected=True), {"op": "OUT", "host": "s1"}),
    (EjectionOrder("s1", ejected=False), {"op": "IN", "host": "s1"}),
    (
        AdmissionOrder(("a", "b"), 0.5, RetryPolicy.ONCE_AFTER_ANY_FAILURE),
        {"op": "LIMIT", "routes": ["a", "b"], "admit": 0.5, "policy": 2},
    ),
    (AcknowledgementOrder(7, all_proxies=True), {"op": "SYNC", "nonce_out": 7, "yes": 1}),
]


@pytest.mark.parametrize("order, encoded", ORDERS)
def test_each_order_has_its_wire_format(order, encoded):
    assert encode_order(order) == encoded
    assert list(encode_order(order)) == list(encoded)
    assert encoded_size(order) == len(orjson.dumps(encoded)) + 1


def test_a_call_is_one_line_and_a_watch_request_has_no_parameters():
    assert encode_call(1, Method.WATCH) == b'{"jsonrpc":"2.0","id":1,"method":"relay.watch"}\n'
    assert encode_call(2, Method.APPLY, [ClearOrder(4)]) == (
        b'{"jsonrpc":"2.0","id":2,"method":"relay.apply",'
        b'"params":{"orders":[{"op":"DEL","table":4}]}}\n'
    )


@pytest.mark.parametrize(
    "reply, result",
    [
        ({"result": {"taken": 2}}, CallApplied(2)),
        ({"result": {"taken": 0}, "error": None}, CallApplied(0)),
        ({"error": {"message": "BUSY"}}, CallRejected("BUSY", unreadable=False)),
        ({"error": {"message": "SYNTAX: x"}}, CallRejected("SYNTAX: x", unreadable=True)),
    ],
)
def test_a_reply_states_the_outcome_of_the_call(reply, result):
    assert decode_call_reply(reply, 2) == result
    assert type(decode_call_reply(reply, 2)) is type(result)


@pytest.mark.parametrize(
    "reply",
    [
        {},
        {"result": {"taken": 3}},
        {"result": {"taken": -1}},
        {"result": {"taken": 1}, "error": {"message": "BUSY"}},
        {"error": {"message": "ODD"}},
    ],
)
def test_a_reply_that_is_neither_a_result_nor_an_error_is_invalid(reply):
    with pytest.raises(FieldError):
        decode_call_reply(reply, 2)

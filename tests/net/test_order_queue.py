"""How a newer order replaces queued ones, and how batches are taken from the queue."""

from havendyke.interface import RetryPolicy
from havendyke.net.order_queue import OrderQueue
from havendyke.net.relay_orders import (
    AcknowledgementOrder,
    AdmissionOrder,
    ClearOrder,
    EjectionOrder,
    WeightOrder,
)


def queue_of(*orders):
    queue = OrderQueue()
    for order in orders:
        queue.put(order)
    return queue


def admission(*request_classes):
    return AdmissionOrder(request_classes, 0.5, RetryPolicy.NEVER)


def test_a_newer_order_replaces_the_one_with_its_key_and_is_sent_last():
    queue = queue_of(WeightOrder(1, "s1", 1.0), WeightOrder(1, "s2", 1.0))
    queue.put(WeightOrder(1, "s1", 0.5))
    assert queue.orders == [WeightOrder(1, "s2", 1.0), WeightOrder(1, "s1", 0.5)]


def test_clearing_a_table_replaces_its_weight_orders_only():
    others = [WeightOrder(2, "s1", 1.0), EjectionOrder("s1", ejected=True)]
    queue = queue_of(WeightOrder(1, "s1", 1.0), *others, ClearOrder(1))
    assert queue.orders == [*others, ClearOrder(1)]


def test_admission_of_more_request_classes_replaces_that_of_fewer():
    queue = queue_of(admission("a"), admission("c"), admission("a", "b"), admission("a"))
    assert queue.orders == [admission("c"), admission("a", "b"), admission("a")]


def test_a_request_to_all_proxies_keeps_its_scope_when_a_newer_one_replaces_it():
    queue = queue_of(AcknowledgementOrder(1, all_proxies=True))
    queue.put(AcknowledgementOrder(2, all_proxies=False))
    assert queue.orders == [AcknowledgementOrder(2, all_proxies=True)]


def test_orders_that_are_put_back_precede_those_added_since():
    queue = queue_of(WeightOrder(1, "s1", 1.0), WeightOrder(1, "s2", 1.0))
    taken = queue.take_batch(1000, 2, lambda order: 1)
    queue.put(WeightOrder(1, "s1", 0.5))
    queue.put_back(taken.values())
    assert queue.orders == [WeightOrder(1, "s2", 1.0), WeightOrder(1, "s1", 0.5)]


def test_a_batch_has_at_least_one_order_and_no_more_than_the_limits_allow():
    orders = [WeightOrder(1, f"s{k}", 1.0) for k in range(5)]
    queue = queue_of(*orders)
    assert list(queue.take_batch(5, None, lambda order: 10).values()) == orders[:1]
    assert list(queue.take_batch(100, 2, lambda order: 10).values()) == orders[1:3]
    assert queue.orders == orders[3:] and len(queue) == 2

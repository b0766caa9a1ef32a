"""The estimate of when a client wrote the last byte of a body that the node reads with pauses."""

from __future__ import annotations

from harecross.downstream.body_arrival import CLIENT_BUFFER_BYTES, WAITING_BYTES_US, Arrival, BodyArrival

SECOND_US = 1_000_000


def test_bytes_that_follow_a_resumption_at_once_count_from_the_arrival_before():
    """Guards against a timeout that begins anew whenever the node reads on."""
    arrival = BodyArrival()
    for second in range(1, 4):
        arrival.resumed(second * SECOND_US, Arrival(second * SECOND_US - 900_000, second * 65_536))
        arrival.read(second * SECOND_US + 1000)
    assert arrival.earliest_last_byte_us(1_000_000, 200_000) == 100_000
    assert arrival.earliest_last_byte_us(None, 200_000) == 100_000


def test_a_client_that_is_slower_than_the_server_is_not_waiting():
    """Guards against a sound slow upload that is failed while its client still writes."""
    arrival = BodyArrival()
    arrival.resumed(SECOND_US, Arrival(SECOND_US // 10, 65_536))
    arrival.read(SECOND_US + 1000)
    assert arrival.earliest_last_byte_us(1_000_000, 70_000) is not None
    arrival.read(SECOND_US + 2 * WAITING_BYTES_US)
    assert arrival.earliest_last_byte_us(1_000_000, 80_000) is None
    arrival.resumed(3 * SECOND_US, Arrival(2 * SECOND_US, 90_000))
    arrival.read(3 * SECOND_US + 2 * WAITING_BYTES_US)
    assert arrival.earliest_last_byte_us(1_000_000, 90_000) is None


def test_what_does_not_fit_the_clients_send_buffer_was_not_written_yet():
    """Guards against a large upload that is failed although its client cannot have written it."""
    arrival = BodyArrival()
    length = 2 * CLIENT_BUFFER_BYTES
    for second, arrived in ((1, 100_000), (2, CLIENT_BUFFER_BYTES - 1), (3, CLIENT_BUFFER_BYTES)):
        arrival.resumed(second * SECOND_US, Arrival(second * SECOND_US, arrived))
        arrival.read(second * SECOND_US + 1000)
    assert arrival.earliest_last_byte_us(None, length) is None
    assert arrival.earliest_last_byte_us(length, length) == 3 * SECOND_US

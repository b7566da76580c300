"""Networks that tests reserve."""

from __future__ import annotations

import socket

from tests.networks import Networks

UNUSED_OCTET = 19


def test_networks_reserved_by_another_run_are_skipped():
    first, second = Networks(UNUSED_OCTET), Networks(UNUSED_OCTET)

    assert len({first.reserve(), second.reserve(), first.reserve()}) == 3


# A daemon that an interrupted run had left responded in place of a test's own.
def test_network_with_a_socket_of_another_process_is_skipped():
    probe = Networks(UNUSED_OCTET).reserve()
    third_octet = int(probe.rpartition(".")[2]) + 1
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        network = f"127.{UNUSED_OCTET}.{third_octet}"
        with socket.socket(type=kind) as used:
            used.bind((f"{network}.22", 8221))
            if kind == socket.SOCK_STREAM:
                used.listen()
            reserved = Networks(UNUSED_OCTET).reserve()
            assert reserved != network
        third_octet = int(reserved.rpartition(".")[2]) + 1

"""How long an endpoint may be silent before its connections are given up."""

from __future__ import annotations

import socket
from itertools import count

from amaranthhollow.serving.endpoint_connection import set_timeouts

# Endpoints fall silent for a second or so and go on.
TOLERATED_SILENCE_SECONDS = 1.5
RETRANSMISSIONS_AT_SECONDS = (0.2, 0.6, 1.4, 3.0, 6.2)
MAX_DETECTION_SECONDS = 5.0


def read_options():
    """Return the user timeout, the idle time and the probe interval, in seconds."""
    with socket.socket() as sock:
        set_timeouts(sock)
        return (
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) / 1000,
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
        )


def idle_detection(user_timeout, idle, interval):
    """Return when probes give an idle connection up, as tcp(7) describes.

    They do at the first check after a probe at which nothing was received for the user
    timeout, whatever the number of probes.
    """
    return next(
        idle + number * interval
        for number in count(1)
        if idle + number * interval >= user_timeout
    )


# A second of silence ended connections on which a response was awaited for 3 s.
def test_short_silence_does_not_end_an_idle_connection():
    user_timeout, idle, interval = read_options()
    given_up_at = idle_detection(user_timeout, idle, interval)

    assert given_up_at - idle >= TOLERATED_SILENCE_SECONDS
    assert given_up_at <= MAX_DETECTION_SECONDS


def test_short_silence_does_not_end_a_connection_with_data_on_the_way():
    user_timeout, _, _ = read_options()
    retransmitted_at = next(
        at for at in RETRANSMISSIONS_AT_SECONDS if at > TOLERATED_SILENCE_SECONDS
    )

    assert retransmitted_at < user_timeout <= MAX_DETECTION_SECONDS

"""Names of the platform: headers, calls and keys, as its pages spell them."""

from __future__ import annotations

__all__: list[str] = []

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
HOST = b"host"
TOKEN_COUNT = b"x-token-count"
PREFIX = b"x-prefix-hash"
LAST_EVENT_ID = b"last-event-id"

# The system's own to set towards an endpoint; what a client sends is dropped.
EXPECTED_INSTANCE = b"x-expect-instance"
EXPECTED_VERSION = b"x-expect-version"
WORKSPACE = b"x-tenant"
PRIORITY = b"x-request-priority"
PIN = b"x-pin-ms"
HOLD = b"x-hold"
CACHE_BACKUP = b"x-kv-backup"
CACHE_SOURCE = b"kv-from"
CACHE_FETCH = b"kv-fetch"
DUTY_HOLDER = b"x-duty-holder"
FENCING_TOKEN = b"x-fence-token"

# Of an endpoint's answer.
SIGNATURE = b"x-server-stamp"
NOT_RUN = b"x-not-run"
KEEP_ALIVE = b"keep-alive"
EVENT_STREAM = b"text/event-stream"

# Keys of the store; the first two belong to the operator and the endpoints.
CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
SYSTEM_KEY_PREFIX = "amaranthhollow/"

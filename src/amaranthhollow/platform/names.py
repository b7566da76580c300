"""Header names, media types and store keys of the platform."""

from __future__ import annotations

__all__: list[str] = []

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
HOST = b"host"
TOKEN_COUNT = b"x-token-count"
PROMPT_PREFIX = b"x-prefix-hash"
LAST_EVENT_ID = b"last-event-id"
RESUMED_REQUEST = b"resumes"

# Set by this system on requests to endpoints; removed from requests of callers.
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

# Headers and media type of endpoints' responses.
SIGNATURE = b"x-server-stamp"
NOT_RUN = b"x-not-run"
KEEP_ALIVE = b"keep-alive"
RATE_LIMIT = b"server-limit"
TOLERATED_REJECTIONS = b"server-brittle"
LEAVING = b"server-leaving"
ENGINE_LOAD = b"x-engine-load"
RETRY_AFTER = b"retry-after"
EVENT_STREAM = b"text/event-stream"

# Rises by one whenever the store has returned from an older copy of itself.
STORE_ERA = b"store-era"

# Keys of the store. The operator writes the first, the endpoints write below the
# second, and this system writes below the third.
CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
SYSTEM_KEY_PREFIX = "amaranthhollow/"

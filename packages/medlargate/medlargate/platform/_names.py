"""Names of the platform's headers and of its keys in the store."""

from __future__ import annotations

# Headers of requests and responses.
REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
PROMPT_PARTS = "Prompt-Prefix"
TOKEN_COUNTS = "Token-Usage"
LENGTH_HINT = "Length-Hint"  # caller's estimate of the number of output tokens
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"  # id of the caller's attempt that brought the stream's first event
RESPONSE_SEAL = "Response-Seal"
CUSTOMER = "Tenant"
CUSTOMER_KEY = "Key"
EXPECT_INSTANCE = "Expect-Instance"
REQUEST_PRIORITY = "Request-Priority"
FETCH_FROM = "Kv-Fetch"  # IP:PORT of an engine that has a prefix of the prompt cached
SERVER_LOAD = "Server-Load"
INSTANCE_ID = "Instance-Id"  # id of the server that answered
COLD_TIME = "Cold-Ms"  # milliseconds for which the server stays cold
NOT_EXECUTED = "Not-Executed"
DUTY_HOLDER = "Duty-Holder"
FENCING_TOKEN = "Fencing-Token"
STORE_ERA = "Store-Era"  # rises by one when the store was restored from a copy
SERVER_LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
# Requests that a server can turn away in a second; with more it falls over.
SERVER_BRITTLE = "Server-Brittle"
SERVER_LIMIT = "Server-Limit"  # requests a second that all nodes together may send

# Only the router sets these headers; values from callers are never forwarded.
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        CUSTOMER,
        CUSTOMER_KEY,
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        DEADLINE,
        NOT_EXECUTED,
        DUTY_HOLDER,
        FENCING_TOKEN,
        "Expect-Version",
        "Kv-Reservation",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
        FETCH_FROM,
    )
)
# These headers are forwarded even if the caller's Connection header names them.
PROTECTED_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        "Model",
        TOKEN_COUNTS,
        PROMPT_PARTS,
        LAST_EVENT_ID,
        RESUMES,
        CUSTOMER_KEY,  # read by another node that serves the request
        "Host",
    )
)

CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"

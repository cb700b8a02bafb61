"""Names of the users' platform: headers, paths, fields and words on the wire."""

from __future__ import annotations

# Headers of requests and answers.
REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
PROMPT_PARTS = "Prompt-Prefix"
TOKEN_COUNTS = "Token-Usage"
LAST_EVENT_ID = "Last-Event-Id"
RESPONSE_SEAL = "Response-Seal"
CUSTOMER = "Tenant"
CUSTOMER_KEY = "Key"
EXPECT_INSTANCE = "Expect-Instance"
REQUEST_PRIORITY = "Request-Priority"
FETCH_FROM = "Kv-Fetch"  # IP:PORT of an engine that holds a prompt's beginning
SERVER_LOAD = "Server-Load"
NOT_EXECUTED = "Not-Executed"
DUTY_HOLDER = "Duty-Holder"
FENCING_TOKEN = "Fencing-Token"

# Set by the router alone; a caller's own value is never passed on.
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
# A caller can't have these removed by naming them in its Connection header.
PROTECTED_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID, "Model", TOKEN_COUNTS, PROMPT_PARTS, LAST_EVENT_ID, "Host")
)

CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"

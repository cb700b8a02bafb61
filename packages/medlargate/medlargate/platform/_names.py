"""Names of the users' platform: headers, paths, fields and words on the wire."""

from __future__ import annotations

# Headers of requests and answers.
REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
PROMPT_PARTS = "Prompt-Prefix"
TOKEN_COUNTS = "Token-Usage"
LAST_EVENT = "Last-Event-Id"
SEAL = "Response-Seal"
CUSTOMER = "Tenant"
CUSTOMER_KEY = "Key"
EXPECT_INSTANCE = "Expect-Instance"
PRIORITY = "Request-Priority"
FETCH_FROM = "Kv-Fetch"  # IP:PORT of an engine that holds a prompt's beginning
LOAD = "Server-Load"
NOT_RUN = "Not-Executed"
DUTY_HOLDER = "Duty-Holder"
FENCE = "Fencing-Token"

# Set by the router alone; a caller's own value is never passed on.
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        CUSTOMER,
        CUSTOMER_KEY,
        EXPECT_INSTANCE,
        PRIORITY,
        DEADLINE,
        NOT_RUN,
        DUTY_HOLDER,
        FENCE,
        "Expect-Version",
        "Kv-Reservation",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
        FETCH_FROM,
    )
)
# A caller can't have these removed by naming them in its Connection header.
KEPT_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID, "Model", TOKEN_COUNTS, PROMPT_PARTS, LAST_EVENT, "Host")
)

CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"

"""Urgent streams beside long prompts of less urgent requests, with real nodes."""

import unittest

from medlargate_standins.prefill_backend import PrefillBackend
from medlargate_standins.relay_testbed import make_route

from .test_urgent_refused import N_ENGINES, UrgentLoadCase, start_fleet

N_SLOTS = 32
LONG_PROMPT = 16_000  # tokens
# Prefill of this many long prompts a second takes all the time of all engines.
MAX_LONG_RATE = N_ENGINES * PrefillBackend.prefill_rate / LONG_PROMPT
URGENT_RATE = 40.0  # requests a second


async def start_world(n_nodes):
    options = {"Priority": 0, "TtftGoalMs": 300, "TimeoutMs": 4500, "ItlGoalMs": 600}
    urgent = make_route("urgent", "streaming", "work", **options)
    options = {"Priority": 2, "TtftGoalMs": 1500, "TimeoutMs": 8000, "ItlGoalMs": 2000}
    long = make_route("long", "streaming", "work", **options)

    def make_server(server_id, domain):
        return PrefillBackend(server_id, "work", domain, N_SLOTS, max_queued=16)

    stride = PrefillBackend.n_tokens_per_event
    engine = {"Slots": N_SLOTS, "KvCapacity": 600_000, "Stride": stride}
    return await start_fleet(n_nodes, [urgent, long], engine, make_server)


class UrgentStreamsPrefillTest(UrgentLoadCase):
    """Prefill of 1.3 times what the engines bear, and few urgent short prompts."""

    start_world = staticmethod(start_world)

    async def test_urgent_streams_end_beside_long_prompts_of_many_nodes(self):
        load = await self.start()
        urgent = {"Token_Usage": "400,64", "Deadline_Ms": "4500"}
        long = {"Token_Usage": f"{LONG_PROMPT},64", "Deadline_Ms": "8000"}
        await self.finish(
            load,
            load.send("urgent", URGENT_RATE, **urgent),
            load.send("long", 1.3 * MAX_LONG_RATE, **long),
        )


if __name__ == "__main__":
    unittest.main()

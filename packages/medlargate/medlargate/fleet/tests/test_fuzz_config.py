import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from medlargate_standins.fuzzing import make_fuzz_settings
from medlargate_standins.simulated_network import SimulatedNetwork
from returns.result import Success

from .. import ConfigReplica, FleetAgent, Membership, Operation, Peer
from .._model import ConfigError

# Four failure domains of 3, 2, 2 and 1 nodes.
DOMAINS = {
    "a1": "fd-a",
    "a2": "fd-a",
    "a3": "fd-a",
    "b1": "fd-b",
    "b2": "fd-b",
    "c1": "fd-c",
    "c2": "fd-c",
    "d1": "fd-d",
}
NAMES = sorted(DOMAINS)
TRUST = 4.0
WITHDRAWAL_BOUND = 5.0
IN_FORCE_BOUND = 16.0
KEYS = ("k0", "k1", "k2", "k3")


class Node:
    def __init__(self, machine, name, incarnation):
        world = machine.world
        self.machine, self.world, self.name = machine, world, name
        self.highest = 0
        members = Membership(name, DOMAINS[name], f"{name}-{incarnation}")
        replica = ConfigReplica(world.loop.time)
        self.agent = FleetAgent(
            replica,
            members,
            world.make_client(name),
            self.send,
            self.pull,
            world.loop.time,
            trust_timeout=TRUST,
            sleep=world.make_sleep(name),
        )
        peers = [Peer(n, d, (n, 0), 0) for n, d in DOMAINS.items()]
        members.observe_peers(peers, world.loop.time())
        world.start(name, self.agent.run_heartbeats())
        world.start(name, self.agent.run_sync())

    @property
    def config(self):
        return self.agent.replica.config

    def send(self, outgoing):
        target = outgoing.peer

        def arrive():
            self.machine.nodes[target].agent.observe(outgoing.heartbeat)

        self.world.deliver(self.name, target, arrive)

    async def pull(self, peer, after):
        await self.agent.sleep(0.01)
        if self.world.is_cut(self.name, peer) or self.world.is_cut(peer, self.name):
            return None
        if peer in self.world.paused:
            return None
        return self.machine.nodes[peer].agent.make_pull_response(after)


class ConfigMachine(RuleBasedStateMachine):
    """Change the configuration at nodes with real replicas while links and stores fail.

    Checks that withdrawn keys stop working within ``WITHDRAWAL_BOUND`` seconds, that
    revisions never decrease and that accepted changes end up in force on every node.
    """

    def __init__(self):
        super().__init__()
        self.world = SimulatedNetwork()
        self.nodes = {}
        self.n_changes = 0
        self.incarnation = 0
        self.withdrawn = {}
        self.accepted = 0

    @initialize()
    def begin(self):
        for name in NAMES:
            self.nodes[name] = Node(self, name, 0)
        operations = [
            Operation(action="put", kind="customer", name="c", value={}),
            *(self.make_key(key) for key in KEYS),
        ]
        self.world.loop.run_coroutine(
            self.nodes["a1"].agent.commit(operations, change_id="first")
        )
        self.world.run(3.0)

    def make_key(self, key):
        digest = f"{KEYS.index(key):064x}"
        value = {"customer": "c", "digest": digest}
        return Operation(action="put", kind="key", name=key, value=value)

    async def change(self, name, operation, change_id):
        agent = self.nodes[name].agent
        try:
            done = await agent.commit([operation], change_id=change_id)
        except ConfigError:
            return
        if not isinstance(done, Success) or not done.unwrap().accepted:
            return
        self.accepted = max(self.accepted, done.unwrap().revision)
        if operation.action == "delete":
            self.withdrawn.setdefault(operation.name, self.world.loop.time())

    # Steps

    @rule(name=st.sampled_from(NAMES), key=st.sampled_from(KEYS))
    def withdraw(self, name, key):
        self.n_changes += 1
        operation = Operation(action="delete", kind="key", name=key)
        self.world.start(name, self.change(name, operation, f"w{self.n_changes}"))

    @rule(name=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def race(self, name, other):
        """Change the configuration at two nodes at the same time."""
        for node in {name, other}:
            self.n_changes += 1
            number = self.n_changes
            customer = Operation(action="put", kind="customer", name=f"c{number}")
            self.world.start(node, self.change(node, customer, f"p{number}"))

    @rule(down=st.booleans())
    def outage(self, down):
        self.world.store_down = down

    @rule(name=st.sampled_from(NAMES), cut=st.booleans())
    def cut_from_store(self, name, cut):
        (self.world.cut_from_store.add if cut else self.world.cut_from_store.discard)(
            name
        )

    @rule(name=st.sampled_from(NAMES), lose=st.booleans())
    def lose_answers(self, name, lose):
        (
            self.world.losing_responses.add
            if lose
            else self.world.losing_responses.discard
        )(name)

    @rule(one=st.sampled_from(NAMES), two=st.sampled_from(NAMES), cut=st.booleans())
    def cut_link(self, one, two, cut):
        pair = frozenset((one, two))
        (self.world.partitions.add if cut else self.world.partitions.discard)(pair)

    @rule(one=st.sampled_from(NAMES), two=st.sampled_from(NAMES), cut=st.booleans())
    def cut_one_way(self, one, two, cut):
        pair = (one, two)
        (
            self.world.one_way_partitions.add
            if cut
            else self.world.one_way_partitions.discard
        )(pair)

    @rule(domain=st.sampled_from(sorted(set(DOMAINS.values()))), store=st.booleans())
    def cut_domain(self, domain, store):
        inside = {n for n, d in DOMAINS.items() if d == domain}
        for one in inside:
            for two in set(NAMES) - inside:
                self.world.partitions.add(frozenset((one, two)))
        if store:
            self.world.cut_from_store |= inside

    @rule(
        inside=st.sets(st.sampled_from(NAMES), min_size=1, max_size=4),
        key=st.sampled_from(KEYS),
        seconds=st.sampled_from([0.3, 2.0, 8.0]),
    )
    def withdraw_within_a_partition(self, inside, key, seconds):
        """Withdraw a key on the one side of a partition that can reach the store."""
        outside = set(NAMES) - inside
        for one in inside:
            for two in outside:
                self.world.partitions.add(frozenset((one, two)))
        self.world.cut_from_store |= outside
        self.world.cut_from_store -= inside
        self.world.store_down = False
        self.world.run(seconds)
        self.withdraw(min(inside), key)
        self.world.run(6.0)

    @rule()
    def heal(self):
        self.world.store_down = False
        self.world.cut_from_store.clear()
        self.world.losing_responses.clear()
        self.world.partitions.clear()
        self.world.one_way_partitions.clear()
        for name in NAMES:
            self.world.resume(name)

    @rule(name=st.sampled_from(NAMES), stop=st.booleans())
    def pause(self, name, stop):
        (self.world.pause if stop else self.world.resume)(name)

    @rule(name=st.sampled_from(NAMES))
    def replace(self, name):
        self.world.kill(name)
        self.incarnation += 1
        self.nodes[name] = Node(self, name, self.incarnation)

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.0, 3.0, 6.0]))
    def advance(self, seconds):
        self.world.run(seconds)

    def teardown(self):
        if self.nodes:
            self.heal()
            self.world.run(IN_FORCE_BOUND)
            for node in self.nodes.values():
                assert node.agent.replica.revision >= self.accepted, (
                    "an accepted change is not in force"
                )
                assert node.agent.trusts_keys(), "a healed node does not trust its keys"
            snapshots = {
                tuple(op.model_dump_json() for op in node.config.snapshot())
                for node in self.nodes.values()
            }
            assert len(snapshots) == 1, "healed nodes have different configurations"
        self.world.close()

    # Checks

    @invariant()
    def withdrawn_keys_stop(self):
        now = self.world.loop.time()
        for key, at in self.withdrawn.items():
            if now - at <= WITHDRAWAL_BOUND:
                continue
            for node in self.nodes.values():
                admits = key in node.config.keys and node.agent.trusts_keys()
                assert not admits, f"{node.name} admits {key}, {now - at:.1f} s after"

    @invariant()
    def revisions_never_fall(self):
        for node in self.nodes.values():
            assert node.agent.replica.revision >= node.highest
            node.highest = node.agent.replica.revision


class ConfigFuzzTest(ConfigMachine.TestCase):
    settings = make_fuzz_settings(n_long=5_000, n_ci=40)


if __name__ == "__main__":
    unittest.main()

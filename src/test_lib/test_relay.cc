// Tests of the relay of the registry between nodes, on a driven clock.
#include <gtest/gtest.h>

#include "relay_fleet.h"

namespace
{

// Time within which a change must be known, plus an own read of the registry
// and a step of the clock.
constexpr int64_t bound_us = RelayFleet::apply_us + 30 * BB_US_PER_MS;

} // namespace

// Guards against calls of the registry that grow with the fleet: at most 0.05 a
// node and second at 353 nodes, and at most twice the calls of 22 nodes there.
TEST(Relay, CallsDoNotGrowWithTheFleet)
{
	struct {
		int hosts, zones;
		double max_calls;
	} sizes[] = { { 22, 4, 0.6 },
		      { 101, 4, 0.2 },
		      { 353, 6, 0.05 },
		      { 580, 5, 0.05 } };

	for (auto &s : sizes) {
		RelayFleet f(s.hosts, s.zones);

		f.run(10 * BB_US_PER_S);
		EXPECT_LE(f.calls_per_node_second(20), s.max_calls) << s.hosts;
		EXPECT_FALSE(f.readers().empty());
	}
}

// Guards against changes that wait for the next poll instead of being passed on
// at once, and against removals that are not passed on.
TEST(Relay, ChangesAndRemovalsReachAllNodes)
{
	RelayFleet f(353, 6);

	f.run(5 * BB_US_PER_S);
	for (int i = 0; i < 20; i++) {
		int64_t us = f.spread("op/config", "v" + std::to_string(i),
				      bound_us);

		EXPECT_GE(us, 0);
		EXPECT_LE(us, BB_US_PER_S);
		f.run(i * 70 * BB_US_PER_MS);
	}
	f.registry.remove("servers/1");
	f.run(bound_us);
	for (auto &n : f.nodes)
		EXPECT_EQ(0u, n->items.count("servers/1"));
}

// Guards against nodes that go on trusting a reader which no longer hears from
// the registry, also if its own read takes long to time out.
TEST(Relay, ReaderCutFromTheRegistryIsLeftInTime)
{
	for (int phase = 0; phase < 20; phase++) {
		RelayFleet f(101, 4);

		f.slack_us = phase < 10 ? 300 * BB_US_PER_MS : 9 * BB_US_PER_S;
		f.run(5 * BB_US_PER_S + phase * 70 * BB_US_PER_MS);
		auto readers = f.readers();
		for (uint32_t r : readers)
			f.nodes[r]->no_registry = true;
		f.run(phase % 10 * 130 * BB_US_PER_MS);
		EXPECT_GE(f.spread("op/config", "new", bound_us, readers), 0)
			<< phase;
	}
}

// Guards against nodes that wait for a frozen reader, whose host still counts as
// alive.
TEST(Relay, FrozenReaderIsLeftInTime)
{
	for (int phase = 0; phase < 10; phase++) {
		RelayFleet f(101, 4);

		f.run(5 * BB_US_PER_S + phase * 70 * BB_US_PER_MS);
		auto readers = f.readers();
		for (uint32_t r : readers)
			f.freeze(r);
		EXPECT_GE(f.spread("op/config", "new", bound_us, readers), 0)
			<< phase;
		// Others read in their place, and the calls are few again.
		f.run(10 * BB_US_PER_S);
		EXPECT_LE(f.calls_per_node_second(20), 0.2);
	}
}

// Guards against evidence that gets older when a reader is first cut off and
// then frozen: the two times must not add up to more than the bound.
TEST(Relay, ReaderCutOffThenFrozenIsLeftInTime)
{
	for (int phase = 0; phase < 14; phase++) {
		RelayFleet f(22, 4);

		f.run(6 * BB_US_PER_S);
		auto readers = f.readers();
		for (uint32_t r : readers)
			f.nodes[r]->no_registry = true;
		f.registry.put("op/config", "new");
		int64_t start = f.now;
		f.run(phase * 100 * BB_US_PER_MS);
		for (uint32_t r : readers)
			f.freeze(r);
		while (f.now - start <= bound_us &&
		       !f.all_have("op/config", "new", readers))
			f.run(RelayFleet::step_us);
		EXPECT_TRUE(f.all_have("op/config", "new", readers)) << phase;
	}
}

// Guards against a whole fleet that reads the registry because it compacted its
// history, so that the watches of the readers hear nothing more.
TEST(Relay, ReaderThatHearsNothingReadsAgainInTime)
{
	RelayFleet f(353, 6);

	f.run(6 * BB_US_PER_S);
	uint64_t before = f.registry.calls;
	auto readers = f.readers();
	for (uint32_t r : readers)
		f.nodes[r]->deaf = true;
	EXPECT_GE(f.spread("op/config", "new", bound_us), 0);
	f.run(BB_US_PER_S);
	EXPECT_LE(f.registry.calls - before, 8 * readers.size());
}

// Guards against lost messages between nodes that keep changes back.
TEST(Relay, LossIsBridgedByOwnReads)
{
	for (double loss : { 0.1, 0.3 }) {
		RelayFleet f(101, 4);

		f.loss = loss;
		f.run(5 * BB_US_PER_S);
		for (int i = 0; i < 10; i++)
			EXPECT_GE(f.spread("op/config", "v" + std::to_string(i),
					   bound_us),
				  0)
				<< loss;
		// Never more than the nodes would call by themselves.
		EXPECT_LE(f.calls_per_node_second(20), 1.3);
	}
}

// Guards against a zone that is cut off from the others and has no reader.
TEST(Relay, CutZoneReadsByItself)
{
	RelayFleet f(22, 4);

	f.run(5 * BB_US_PER_S);
	f.cut_zones = { 0 };
	EXPECT_GE(f.spread("op/config", "new", bound_us), 0);
	f.run(20 * BB_US_PER_S);
	EXPECT_GE(f.spread("op/config", "newer", bound_us), 0);
}

// Guards against nodes that take changes of another era, or that go back to
// what a reader knew before the registry was restored.
TEST(Relay, RestoredRegistryIsReadByEachNode)
{
	RelayFleet f(101, 4);

	f.registry.put("op/config", "lost");
	f.run(5 * BB_US_PER_S);
	f.registry.items["op/config"] = { "restored", 11, false };
	f.registry.revision = 11;
	f.registry.era = 2;
	f.run(3200 * BB_US_PER_MS);
	EXPECT_TRUE(f.all_have("op/config", "restored"));
	EXPECT_GE(f.spread("op/config", "after", bound_us), 0);
}

// Guards against a storm of calls, or nodes that stay behind, when a third of
// the fleet restarts at once.
TEST(Relay, ThirdOfTheFleetRestarts)
{
	RelayFleet f(353, 6);

	f.run(5 * BB_US_PER_S);
	uint64_t before = f.registry.calls;
	for (uint32_t i = 0; i < 353; i += 3)
		f.restart(i);
	f.run(BB_US_PER_S);
	// A list each, and an own read of those whose reader restarted.
	EXPECT_LE(f.registry.calls - before, 118u + 2 * 353u);
	EXPECT_GE(f.spread("op/config", "new", bound_us), 0);
	f.run(5 * BB_US_PER_S);
	EXPECT_LE(f.calls_per_node_second(20), 0.05);
}

// Guards against peers that are believed although their answer breaks a rule.
TEST(Relay, InvalidAnswersAreDropped)
{
	struct Change {
		const char *name;
		void (*apply)(struct bb_message_registry_changes *m,
			      struct bb_registry_item *i);
	} changes[] = {
		{ "other era", [](auto *m, auto *) { m->era++; } },
		{ "goes back", [](auto *m, auto *) { m->revision = 1; } },
		{ "too old", [](auto *m, auto *) { m->age_ms = 1201; } },
		{ "refused",
		  [](auto *m, auto *) { m->answer = BB_REGISTRY_BEHIND; } },
		{ "no key", [](auto *, auto *i) { i->key.size = 0; } },
		{ "item goes back", [](auto *, auto *i) { i->revision = 10; } },
	};

	for (auto &c : changes) {
		RelayFleet f(22, 4);

		f.run(6 * BB_US_PER_S);
		uint32_t child = 0;
		while (f.upstream(child).empty())
			child++;
		std::string name = f.upstream(child);
		uint32_t reader = bb_config_find_host(f.config.get(),
						      name.data(), name.size());
		// Messages from here on are made by the test.
		f.messages = {};
		f.nodes[child]->calls = 0;
		uint64_t revision = f.nodes[child]->revision;
		struct bb_registry_item item = {
			{ "op/config", 9 }, { "bad", 3 }, revision + 1, false
		};
		struct bb_message m = {};

		m.type = BB_MESSAGE_REGISTRY_CHANGES;
		for (uint64_t nonce = 1; nonce < 200; nonce++) {
			m.registry_changes = { nonce, BB_REGISTRY_CHANGES,
					       1,     revision + 1,
					       1,     &item,
					       1 };
			item.key.size = 9;
			item.revision = revision + 1;
			c.apply(&m.registry_changes, &item);
			bb_relay_receive(f.nodes[child]->relay, reader, &m,
					 f.now);
		}
		EXPECT_EQ(0u, f.nodes[child]->items.count("op/config"))
			<< c.name;
		EXPECT_EQ(revision, f.nodes[child]->revision) << c.name;
		// It reads the registry itself at once.
		EXPECT_EQ(1u, f.nodes[child]->calls) << c.name;
	}
}

// Guards against answers of hosts that were not asked, and against host indexes
// outside the fleet.
TEST(Relay, AnswersOfOtherHostsAreIgnored)
{
	RelayFleet f(22, 4);

	f.run(6 * BB_US_PER_S);
	uint32_t child = 0;
	while (f.upstream(child).empty())
		child++;
	uint64_t revision = f.nodes[child]->revision;
	struct bb_message m = {};

	m.type = BB_MESSAGE_REGISTRY_CHANGES;
	for (uint32_t host = 0; host < 30; host++)
		for (uint64_t nonce = 0; nonce < 100; nonce++) {
			if (host < 22 &&
			    f.upstream(child) == f.config->hosts[host].name)
				continue;
			m.registry_changes = { nonce, BB_REGISTRY_CHANGES,
					       1,     revision + 5,
					       1,     nullptr,
					       0 };
			bb_relay_receive(f.nodes[child]->relay, host, &m,
					 f.now);
		}
	EXPECT_EQ(revision, f.nodes[child]->revision);
}

// Guards against a peer that asks without end and gets an answer each time.
TEST(Relay, FloodOfReadsIsBounded)
{
	RelayFleet f(22, 4);

	f.run(6 * BB_US_PER_S);
	f.messages = {};
	uint32_t reader = *f.readers().begin();
	struct bb_message m = {};
	int answers = 0;

	m.type = BB_MESSAGE_REGISTRY_READ;
	for (int i = 0; i < 10000; i++) {
		m.registry_read = { (uint64_t)i, 1, 9, 500 };
		bb_relay_receive(f.nodes[reader]->relay, (reader + 1) % 22, &m,
				 f.now);
		f.now += 100; // 1 s in all
	}
	for (; !f.messages.empty(); f.messages.pop())
		answers += f.messages.top().from == reader;
	EXPECT_LE(answers, 21);
}

// Guards against a switch that does not switch relaying off.
TEST(Relay, EveryNodeReadsWithoutReaders)
{
	RelayFleet f(22, 4, 0);

	f.run(10 * BB_US_PER_S);
	EXPECT_EQ(22u, f.readers().size());
}

// Guards against a removal that is forgotten and then not told to a node that
// lacks it: such a node must be told to read the registry itself.
TEST(Relay, DroppedRemovalsAreNotPassedOver)
{
	RelayFleet f(22, 4);
	struct bb_message m = {};

	f.run(6 * BB_US_PER_S);
	uint32_t reader = *f.readers().begin();
	uint64_t before = f.nodes[reader]->revision;
	f.registry.remove("servers/1");
	f.run(70 * BB_US_PER_S);
	f.messages = {};
	m.type = BB_MESSAGE_REGISTRY_READ;
	m.registry_read = { 77, 1, before, 500 };
	// Past the shortest time between two answers to one peer.
	f.now += 60 * BB_US_PER_MS;
	bb_relay_receive(f.nodes[reader]->relay, (reader + 1) % 22, &m, f.now);
	ASSERT_FALSE(f.messages.empty());
	struct bb_decoded_message *d =
		bb_wire_decode(f.messages.top().bytes.data(),
			       f.messages.top().bytes.size(), nullptr);
	EXPECT_EQ(BB_REGISTRY_HISTORY,
		  bb_decoded_message_get(d)->registry_changes.answer);
	bb_decoded_message_delete(d);
}

// Silent nodes as the entry side sees them, on a driven clock.
#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <microhttpd.h>

#include <map>
#include <set>
#include <string>

#include "baobabward/clock.h"
#include "config_fixture.h"

extern "C" {
#include "libnode/entry_private.h"
}

namespace
{

// An entry node on host h0 of five; each host has one backend server.
struct Entry {
	struct bb_snapshots *snapshots = bb_snapshots_new("h0");
	struct bb_sessions *sessions = bb_sessions_new();
	std::map<uint32_t, int> hellos;
	struct bb_entry *e;
	int64_t now = 1000 * BB_US_PER_S;

	Entry()
	{
		struct bb_entry_options o = {};

		o.incarnation = 1;
		o.sessions = sessions;
		o.send = [](void *data, uint32_t host,
			    const struct bb_message *m) {
			if (m->type == BB_MESSAGE_HELLO)
				((Entry *)data)->hellos[host]++;
			return true;
		};
		o.data = this;
		e = bb_entry_new(&o);
		configure(1, { 0, 1, 2, 3, 4 });
	}
	~Entry()
	{
		bb_entry_delete(e);
		bb_sessions_delete(sessions);
		bb_snapshots_delete(snapshots);
	}
	// Rows of hosts and backend servers in this order.
	void configure(int version, const std::vector<int> &order)
	{
		struct bb_snapshot *s;
		Document d;

		d.version = std::to_string(version);
		d.hosts = d.backends = "";
		for (int i : order) {
			std::string n = std::to_string(i);

			d.hosts += std::string(d.hosts.empty() ? "" : ",") +
				   "{\"name\":\"h" + n +
				   "\",\"region\":\"r\",\"zone\":\"z\","
				   "\"address\":\"127.0.0.1\",\"data_port\":" +
				   std::to_string(7000 + 2 * i) +
				   ",\"control_port\":" +
				   std::to_string(7001 + 2 * i) + "}";
			d.backends +=
				std::string(d.backends.empty() ? "" : ",") +
				"{\"name\":\"o" + n + "\",\"host\":\"h" + n +
				"\",\"service\":\"orders\",\"url\":"
				"\"http://127.0.0.1:" +
				std::to_string(8000 + i) +
				"\",\"weight\":1,\"slots\":5,"
				"\"max_connections\":9,\"state\":\"in\"}";
		}
		std::string json = d.json();
		struct bb_error err = {};
		struct bb_config *c =
			bb_config_parse(json.data(), json.size(), &err);

		ASSERT_NE(nullptr, c) << err.message;
		ASSERT_TRUE(bb_snapshots_swap(snapshots, c));
		s = bb_snapshots_get(snapshots);
		bb_entry_configure(e, s);
		bb_snapshot_put(s);
	}
	uint32_t host(const std::string &name) const
	{
		return bb_config_find_host(e->snapshot->config, name.data(),
					   name.size());
	}
	struct bb_balance *balance() const
	{
		return e->balances[bb_config_find_service(e->snapshot->config,
							  "orders", 6)];
	}
	void silent(const std::string &name, int times = 2)
	{
		while (times--)
			bb_entry_path_silent(e, host(name), now, now);
	}
	// Backend servers that get requests, as the entry side chooses.
	std::set<std::string> chosen()
	{
		std::set<std::string> names;

		bb_balance_filter_paths(balance(), e->paths, true, now);
		for (int i = 0; i < 400; i++) {
			auto c = bb_balance_choose(balance(), NULL, 0, now);

			if (!c.path)
				continue;
			names.insert(
				e->snapshot->config->backends[c.backend].name);
			bb_path_end(c.path);
		}
		return names;
	}
	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end;
		     now += 20 * BB_US_PER_MS)
			bb_entry_tick(e, now);
	}
};

using Names = std::set<std::string>;

} // namespace

// Guards against a path that is tried again after a fixed time however long
// its node is silent, and against one that stays avoided when it answers.
TEST(EntryPaths, SilentNodeIsProbedAndAvoidedForLonger)
{
	Entry x;

	x.silent("h1", 1);
	EXPECT_EQ(5u, x.chosen().size());
	x.silent("h1", 1);
	EXPECT_EQ((Names{ "o0", "o2", "o3", "o4" }), x.chosen());
	for (int i = 0; i < 30; i++) {
		x.run(2 * BB_US_PER_S);
		EXPECT_EQ(0u, x.chosen().count("o1")) << i;
	}
	EXPECT_EQ(1u, x.hellos.size());
	EXPECT_GE(x.hellos[x.host("h1")], 55);
	EXPECT_LE(x.hellos[x.host("h1")], 61);
	bb_entry_path_answered(x.e, x.host("h1"), true, x.now);
	EXPECT_EQ(1u, x.chosen().count("o1"));
	x.run(10 * BB_US_PER_S);
	EXPECT_LE(x.hellos[x.host("h1")], 61);
	EXPECT_EQ(1u, x.chosen().count("o1"));
}

// Guards against avoided paths that, together with ejections and leaving hosts
// that come later, leave less than the floor of the pool.
TEST(EntryPaths, FloorHoldsWhenOthersAreLostLater)
{
	Entry x;
	struct bb_load ejected = { 0, 0, 5, BB_BALANCE_HINT_MAX_US };
	GHashTable *leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	x.silent("h1");
	x.now += 1000;
	x.silent("h2");
	x.now += 1000;
	x.silent("h3");
	EXPECT_EQ((Names{ "o0", "o3", "o4" }), x.chosen());
	bb_balance_report(x.balance(), bb_balance_path(x.balance(), 4),
			  &ejected, x.now);
	EXPECT_EQ((Names{ "o0", "o2", "o3" }), x.chosen());
	g_hash_table_add(leaving, g_strdup("h3"));
	bb_entry_set_leaving(x.e, leaving);
	EXPECT_EQ((Names{ "o0", "o1", "o2" }), x.chosen());
}

// Guards against an entry node that is cut off and avoids all others.
TEST(EntryPaths, CutOffEntryNodeKeepsTheFloor)
{
	Entry x;

	for (const char *h : { "h1", "h2", "h3", "h4" })
		x.silent(h);
	EXPECT_EQ(3u, x.chosen().size());
	x.run(30 * BB_US_PER_S);
	EXPECT_EQ(3u, x.chosen().size());
	EXPECT_EQ(4u, x.hellos.size());
}

// Guards against a state of paths that is lost, or moves to another host, when
// the configuration changes.
TEST(EntryPaths, StateFollowsTheHost)
{
	Entry x;

	x.silent("h1");
	x.configure(2, { 4, 3, 1, 0 });
	EXPECT_EQ((Names{ "o0", "o3", "o4" }), x.chosen());
	x.run(5 * BB_US_PER_S);
	EXPECT_EQ((Names{ "o0", "o3", "o4" }), x.chosen());
	EXPECT_EQ(1u, x.hellos.size());
	EXPECT_EQ(1u, x.hellos.count(x.host("h1")));
	x.configure(3, { 0, 2, 3, 4 });
	EXPECT_EQ(4u, x.chosen().size());
	x.run(5 * BB_US_PER_S);
	x.configure(4, { 0, 1, 2, 3, 4 });
	EXPECT_EQ(5u, x.chosen().size());
}

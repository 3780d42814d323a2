// Silent nodes as the entry side sees them, on a driven clock.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "entry_fixture.h"

namespace
{

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

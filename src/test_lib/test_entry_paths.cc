// Paths to nodes that do not answer, on a simulated clock.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "entry_fixture.h"

namespace
{

using Names = std::set<std::string>;

} // namespace

// Guards against requests on a path whose node still does not answer, because
// a fixed time has passed, and against a path that stays avoided although its
// node answers again.
TEST(EntryPaths, SilentNodeIsProbedAndAvoidedForLonger)
{
	Entry x;

	x.record_timeouts("h1", 1);
	EXPECT_EQ(5u, x.chosen_backends().size());
	x.record_timeouts("h1", 1);
	EXPECT_EQ((Names{ "o0", "o2", "o3", "o4" }), x.chosen_backends());
	for (int i = 0; i < 30; i++) {
		x.run_ticks(2 * BB_US_PER_S);
		EXPECT_EQ(0u, x.chosen_backends().count("o1")) << i;
	}
	EXPECT_EQ(1u, x.hellos.size());
	EXPECT_GE(x.hellos[x.host("h1")], 55);
	EXPECT_LE(x.hellos[x.host("h1")], 61);
	bb_entry_record_path_answer(x.e, x.host("h1"), true, x.now);
	EXPECT_EQ(1u, x.chosen_backends().count("o1"));
	x.run_ticks(10 * BB_US_PER_S);
	EXPECT_LE(x.hellos[x.host("h1")], 61);
	EXPECT_EQ(1u, x.chosen_backends().count("o1"));
}

// Guards against avoided paths that leave less weight than the floor of the
// service once backend servers are ejected or hosts leave later.
TEST(EntryPaths, FloorHoldsAfterLaterEjections)
{
	Entry x;
	struct bb_load ejected = { 0, 0, 5, BB_BALANCE_HINT_MAX_US, 0, 0 };
	GHashTable *leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	x.record_timeouts("h1");
	x.now += 1000;
	x.record_timeouts("h2");
	x.now += 1000;
	x.record_timeouts("h3");
	EXPECT_EQ((Names{ "o0", "o3", "o4" }), x.chosen_backends());
	bb_balance_report(x.balance(), bb_balance_path(x.balance(), 4),
			  &ejected, x.now);
	EXPECT_EQ((Names{ "o0", "o2", "o3" }), x.chosen_backends());
	g_hash_table_add(leaving, g_strdup("h3"));
	bb_entry_set_leaving(x.e, leaving);
	EXPECT_EQ((Names{ "o0", "o1", "o2" }), x.chosen_backends());
}

// Guards against an entry node that is cut off from the others and avoids all
// of them.
TEST(EntryPaths, CutOffEntryNodeKeepsTheFloor)
{
	Entry x;

	for (const char *h : { "h1", "h2", "h3", "h4" })
		x.record_timeouts(h);
	EXPECT_EQ(3u, x.chosen_backends().size());
	x.run_ticks(30 * BB_US_PER_S);
	EXPECT_EQ(3u, x.chosen_backends().size());
	EXPECT_EQ(4u, x.hellos.size());
}

// Guards against path state that is lost, or assigned to another host, when the
// configuration changes and hosts get other handles.
TEST(EntryPaths, StateFollowsTheHost)
{
	Entry x;

	x.record_timeouts("h1");
	x.configure(2, { 4, 3, 1, 0 });
	EXPECT_EQ((Names{ "o0", "o3", "o4" }), x.chosen_backends());
	x.run_ticks(5 * BB_US_PER_S);
	EXPECT_EQ((Names{ "o0", "o3", "o4" }), x.chosen_backends());
	EXPECT_EQ(1u, x.hellos.size());
	EXPECT_EQ(1u, x.hellos.count(x.host("h1")));
	x.configure(3, { 0, 2, 3, 4 });
	EXPECT_EQ(4u, x.chosen_backends().size());
	x.run_ticks(5 * BB_US_PER_S);
	x.configure(4, { 0, 1, 2, 3, 4 });
	EXPECT_EQ(5u, x.chosen_backends().size());
}

// Tests of the detection and avoidance of paths that do not answer.
#include <gtest/gtest.h>

#include "baobabward/clock.h"
#include "baobabward/path.h"

namespace
{

struct Paths : ::testing::Test {
	bb_paths *p = bb_paths_new(10);
	int64_t now = 1000 * BB_US_PER_S;

	~Paths() override
	{
		bb_paths_delete(p);
	}
	void timeout(uint32_t host, int times = 2)
	{
		while (times--)
			bb_paths_record_timeout(p, host, now - BB_US_PER_S,
						now);
	}
	bool avoided(uint32_t host)
	{
		return bb_paths_avoided(p, host, now);
	}
	// Seconds until the path is used again; advances the clock by them.
	int64_t avoided_for(uint32_t host)
	{
		int64_t start = now;

		while (avoided(host))
			now += 100 * BB_US_PER_MS;
		return (now - start) / BB_US_PER_S;
	}
};

} // namespace

// Guards against a path that is avoided after a single lost answer, or for
// requests that were sent before the latest answer arrived.
TEST_F(Paths, AvoidedAfterTwoTimeoutsWithoutAnswer)
{
	timeout(3, 1);
	EXPECT_FALSE(avoided(3));
	bb_paths_record_answer(p, 3, false, now);
	timeout(3, 5);
	EXPECT_FALSE(avoided(3));
	now += 2 * BB_US_PER_S;
	timeout(3);
	EXPECT_TRUE(avoided(3));
	EXPECT_FALSE(avoided(4));
}

// Guards against a dead path that is retried at the same rate without end.
TEST_F(Paths, AvoidedTimeGrowsAndResultsResetIt)
{
	const int64_t want[] = { 1, 2, 4, 8, 16, 32, 60, 60 };

	for (int64_t w : want) {
		timeout(3);
		EXPECT_EQ(w, avoided_for(3));
	}
	for (int i = 0; i < 3; i++)
		bb_paths_record_answer(p, 3, false, now);
	now += 2 * BB_US_PER_S;
	timeout(3);
	EXPECT_EQ(1, avoided_for(3));
}

// Guards against floods of HELLO and against a path without answers that is not
// probed.
TEST_F(Paths, HelloOncePerSecondUntilAnswered)
{
	EXPECT_EQ(UINT32_MAX, bb_paths_hello_due(p, now));
	timeout(3, 1);
	EXPECT_EQ(3u, bb_paths_hello_due(p, now));
	EXPECT_EQ(UINT32_MAX, bb_paths_hello_due(p, now));
	now += BB_US_PER_S;
	EXPECT_EQ(3u, bb_paths_hello_due(p, now));
	bb_paths_record_answer(p, 3, true, now);
	now += BB_US_PER_S;
	EXPECT_EQ(UINT32_MAX, bb_paths_hello_due(p, now));
}

// Guards against a one-way or partly working link, on which WELCOME passes but
// results do not, being used again after every HELLO, once per second.
TEST_F(Paths, WelcomeEndsAvoidanceOnceUntilResultsArrive)
{
	timeout(3);
	bb_paths_record_answer(p, 3, true, now);
	EXPECT_FALSE(avoided(3));
	now += 2 * BB_US_PER_S;
	timeout(3);
	bb_paths_record_answer(p, 3, true, now);
	EXPECT_TRUE(avoided(3));
	EXPECT_EQ(2, avoided_for(3));
	for (int i = 0; i < 3; i++)
		bb_paths_record_answer(p, 3, false, now);
	now += 2 * BB_US_PER_S;
	timeout(3);
	bb_paths_record_answer(p, 3, true, now);
	EXPECT_FALSE(avoided(3));
}

// Guards against an isolated entry node that avoids every path, and against a
// floor that counts members instead of their weight.
TEST_F(Paths, FilterLeavesTheFloorOfWeight)
{
	const bb_path_candidate c[] = { { 0, 5, false },
					{ 1, 1, false },
					{ 2, 1, false },
					{ 3, 1, false },
					{ 4, 2, false } };
	bool avoid[5];

	for (uint32_t host : { 1, 0, 2, 3, 4 }) {
		now += 10 * BB_US_PER_MS;
		timeout(host);
	}
	// Total weight 10, floor 6. Host 1 is avoided first (9 remain); without
	// host 0 only 4 would remain; then 2 and 3 (7 remain), but not 4.
	EXPECT_EQ(7, bb_paths_filter(p, c, 5, 60, avoid, now));
	EXPECT_TRUE(!avoid[0] && avoid[1] && avoid[2] && avoid[3] && !avoid[4]);
	EXPECT_EQ(10, bb_paths_filter(p, c, 5, 100, avoid, now));
	EXPECT_EQ(2, bb_paths_filter(p, c, 5, 0, avoid, now));
	EXPECT_FALSE(avoid[4]);
}

// Guards against a floor that is computed from what remains after ejections and
// leaving hosts instead of from the whole pool.
TEST_F(Paths, IneligibleMembersCountInTheTotalOnly)
{
	bb_path_candidate c[] = { { 0, 1, false },
				  { 1, 1, false },
				  { 2, 1, false },
				  { 3, 1, false },
				  { 4, 1, false } };
	bool avoid[5];

	for (uint32_t host : { 0, 1, 2 }) {
		now += 10 * BB_US_PER_MS;
		timeout(host);
	}
	EXPECT_EQ(3, bb_paths_filter(p, c, 5, 60, avoid, now));
	EXPECT_TRUE(avoid[0] && avoid[1] && !avoid[2]);
	c[4].ineligible = true;
	EXPECT_EQ(3, bb_paths_filter(p, c, 5, 60, avoid, now));
	EXPECT_TRUE(avoid[0] && !avoid[1] && !avoid[2]);
	c[3].ineligible = true;
	EXPECT_EQ(3, bb_paths_filter(p, c, 5, 60, avoid, now));
	EXPECT_TRUE(!avoid[0] && !avoid[1] && !avoid[2]);
	// A member that is both ineligible and without answers counts once.
	c[3].ineligible = c[4].ineligible = false;
	c[0].ineligible = true;
	EXPECT_EQ(3, bb_paths_filter(p, c, 5, 60, avoid, now));
	EXPECT_TRUE(!avoid[0] && avoid[1] && !avoid[2]);
}

// Guards against the state of a path being lost, or given to another host, when
// the list of hosts changes.
TEST_F(Paths, StateIsCarriedOverByHost)
{
	const uint32_t from[] = { UINT32_MAX, 3, 0 };

	EXPECT_FALSE(bb_paths_any_avoided(p, now));
	timeout(3);
	EXPECT_TRUE(bb_paths_any_avoided(p, now));
	p = bb_paths_carry_over(p, from, 3);
	EXPECT_TRUE(avoided(1));
	EXPECT_FALSE(avoided(0));
	EXPECT_FALSE(avoided(2));
	EXPECT_TRUE(bb_paths_any_avoided(p, now));
	EXPECT_EQ(1, avoided_for(1));
	EXPECT_FALSE(bb_paths_any_avoided(p, now));
}

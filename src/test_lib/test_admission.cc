// Limits on the wait of a request for a slot.
#include <gtest/gtest.h>

#include "baobabward/admission.h"
#include "baobabward/clock.h"

static const int64_t MS = BB_US_PER_MS;

static struct bb_wait_limits limits(uint32_t priority, bool ranked)
{
	struct bb_wait_limits r = {};

	r.left_us = 15000 * MS;
	r.timeout_us = 15000 * MS;
	r.target_us = 2500 * MS;
	r.service_us = 500 * MS;
	r.priority = priority;
	r.ranked = ranked;
	return r;
}

// Guards against low ranks that wait for less time although the order of ranks
// puts them behind the others anyway, and against a change without that order.
TEST(Admission, RankOrderNeedsNoShorterWait)
{
	for (uint32_t priority = 0; priority < 6; priority++) {
		struct bb_wait_limits r = limits(priority, true);

		EXPECT_EQ(2000 * MS, bb_admission_wait_us(&r));
	}
	const int64_t expected[] = { 2000, 2000, 1200, 800, 800 };
	for (uint32_t priority = 0; priority < 5; priority++) {
		struct bb_wait_limits r = limits(priority, false);

		EXPECT_EQ(expected[priority] * MS, bb_admission_wait_us(&r));
	}
}

// Guards against a late answer that is started although it cannot come before
// its deadline, and against a request that came back and gets a wait for which
// its target latency leaves no time.
TEST(Admission, LateWaitEndsBeforeTheDeadline)
{
	struct bb_wait_limits r = limits(2, true);

	EXPECT_EQ(14500 * MS, bb_admission_late_wait_us(&r));
	r.left_us = 11000 * MS;
	EXPECT_EQ(1, bb_admission_wait_us(&r));
	EXPECT_EQ(10500 * MS, bb_admission_late_wait_us(&r));
	r.left_us = 100 * MS;
	EXPECT_EQ(1, bb_admission_late_wait_us(&r));
}

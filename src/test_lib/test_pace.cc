#include <glib.h>
#include <gtest/gtest.h>

#include <cmath>
#include <deque>

#include "baobabward/clock.h"
#include "baobabward/pace.h"

namespace
{

constexpr int64_t WINDOW_US = 4 * BB_US_PER_S;

} // namespace

// Guards against more requests in a window than the limit allows with a burst of
// half a second, at any moment, also while the limit changes, and against a
// limit that is not used up by a saturated sender.
TEST(Pace, HoldsInEveryWindow)
{
	GRand *g = g_rand_new_with_seed(5);

	for (double rate : { 0.5, 1.0, 6.5, 40.0, 1000.0 }) {
		struct bb_pace p = {};
		std::deque<int64_t> sent;
		int64_t now = 1000 * BB_US_PER_S, start = now;
		size_t total = 0;

		bb_pace_set(&p, rate, now);
		while (now < start + 30 * BB_US_PER_S) {
			now += g_rand_int_range(g, 1, 2000);
			if (g_rand_int_range(g, 0, 500) == 0)
				bb_pace_set(&p, rate, now);
			while (!bb_pace_wait_us(&p, 0, now)) {
				bb_pace_spend(&p, now);
				sent.push_back(now);
				total++;
			}
			while (!sent.empty() && sent.front() <= now - WINDOW_US)
				sent.pop_front();
			ASSERT_LE((double)sent.size(), 4.5 * rate + 1) << rate;
		}
		EXPECT_GE((double)total, std::floor(30 * rate * 0.95)) << rate;
	}
	g_rand_free(g);
}

// Guards against a burst beside the requests that were sent before the limit
// began, or that a lower limit does not reduce.
TEST(Pace, BeginsEmptyAndKeepsNoLargerBurst)
{
	struct bb_pace p = {};
	int64_t now = BB_US_PER_S;

	EXPECT_EQ(0, bb_pace_wait_us(&p, 1000, now));
	bb_pace_set(&p, 10, now);
	EXPECT_EQ(BB_US_PER_S / 10, bb_pace_wait_us(&p, 0, now));
	now += 10 * BB_US_PER_S;
	EXPECT_EQ(0, bb_pace_wait_us(&p, 4, now));
	EXPECT_GT(bb_pace_wait_us(&p, 5, now), 0);
	bb_pace_set(&p, 2, now);
	EXPECT_EQ(0, bb_pace_wait_us(&p, 0, now));
	EXPECT_EQ(BB_US_PER_S / 2, bb_pace_wait_us(&p, 1, now));
}

// Guards against a backend server that is cut off by a limit of 0: it could
// never say that it accepts requests again.
TEST(Pace, LimitOfZeroLeavesARequestNowAndThen)
{
	struct bb_pace p = {};

	bb_pace_set(&p, 0, 0);
	EXPECT_EQ((int64_t)(BB_US_PER_S / BB_PACE_RATE_MIN),
		  bb_pace_wait_us(&p, 0, 0));
}

// Guards against a limit that stays after it was withdrawn, and against an
// overflow with a limit beyond any rate.
TEST(Pace, NegativeAndHugeLimitsAreNone)
{
	for (double rate :
	     { -1.0, BB_PACE_RATE_MAX, 1e300,
	       std::numeric_limits<double>::infinity(), std::nan("") }) {
		struct bb_pace p = {};

		bb_pace_set(&p, 1, 0);
		EXPECT_GT(bb_pace_wait_us(&p, 0, 0), 0);
		bb_pace_set(&p, rate, 0);
		EXPECT_EQ(0, bb_pace_wait_us(&p, 1000000, 0)) << rate;
	}
}

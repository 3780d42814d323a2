// Retry-After of refused callers, with a replay of callers that return.
#include <glib.h>
#include <gtest/gtest.h>
#include <algorithm>
#include <cstdio>
#include <set>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/retry_after.h"

static const int64_t MS = BB_US_PER_MS;
static const int64_t SECOND = BB_US_PER_S;

static struct bb_returns busy(double per_s, int64_t now)
{
	struct bb_returns r = {};

	for (int64_t t = now - 10 * SECOND; t < now;
	     t += (int64_t)(SECOND / per_s))
		bb_returns_served(&r, 400 * MS, t);
	return r;
}

// Guards against callers that were refused together and return together.
TEST(RetryAfter, ReturnsAreSpread)
{
	int64_t now = 100 * SECOND;
	struct bb_returns r = busy(20, now);
	struct bb_refusal x = { 500 * MS, 30 * SECOND, 0 };
	std::vector<int64_t> at;

	for (int i = 0; i < 50; i++) {
		x.random = i % 10 / 10.0;
		at.push_back(bb_returns_promise(&r, &x, now));
	}
	EXPECT_GE(at.front(), 500 * MS);
	// 50 returns at half of 20 per second.
	EXPECT_NEAR((double)(at.back() - at.front()), 5.0 * SECOND,
		    1.0 * SECOND);
	for (size_t i = 10; i < at.size(); i++)
		EXPECT_GT(at[i], at[i - 10] + 500 * MS);
}

// Guards against callers that all return after the same third of their time, or
// more often than they have to.
TEST(RetryAfter, IsWithinTheThirdThatCallersFollow)
{
	int64_t now = 100 * SECOND;
	struct bb_returns r = busy(2, now);
	struct bb_refusal x = { 10 * SECOND, 9 * SECOND, 0 };
	std::set<int64_t> all;

	for (int i = 0; i < 100; i++) {
		x.random = i / 100.0;
		int64_t us = bb_returns_promise(&r, &x, now);

		EXPECT_GE(us, 2250 * MS);
		EXPECT_LE(us, 3750 * MS);
		all.insert(us);
	}
	EXPECT_GT(all.size(), 90u);
	x.left_us = 0;
	EXPECT_EQ(BB_RETRY_AFTER_MIN_US, bb_returns_promise(&r, &x, now));
}

// Guards against a caller that is sent away for long although capacity is there:
// old promises end, and what waits is worked off.
TEST(RetryAfter, IsShortWhenCapacityIsNear)
{
	int64_t now = 100 * SECOND;
	struct bb_returns r = busy(20, now);
	struct bb_load load = {};
	struct bb_refusal x = { 0, 15 * SECOND, 0.5 };

	load.slots = 5;
	load.queued = 10;
	EXPECT_EQ(800 * MS, bb_returns_wait_us(&r, &load));
	load.work_us = 2 * SECOND;
	EXPECT_EQ(400 * MS, bb_returns_wait_us(&r, &load));
	load.avoid_for_us = 700 * MS;
	EXPECT_EQ(700 * MS, bb_returns_wait_us(&r, &load));
	EXPECT_LE(bb_returns_promise(&r, &x, now), 100 * MS);
	EXPECT_LE(bb_returns_promise(&r, &x, now + SECOND), 100 * MS);
}

// Guards against nodes that send callers back at the same time when they stop.
TEST(RetryAfter, UnavailableHasJitter)
{
	EXPECT_EQ(500 * MS, bb_retry_after_unavailable_us(0));
	EXPECT_EQ(1500 * MS, bb_retry_after_unavailable_us(1));
}

namespace
{
struct caller {
	int64_t deadline_us;
	int64_t return_us;
};

struct outcome {
	int served = 0;
	int refused = 0;
	int lost = 0;
};

// A server that runs 20 requests per second and lets at most 40 wait gets 10 new
// requests per second and a burst of 200 at once. Callers follow Retry-After up
// to a third of the time that they have left.
outcome replay(bool constant)
{
	GRand *rnd = g_rand_new_with_seed(1);
	struct bb_returns r = busy(20, 10 * SECOND);
	std::vector<caller> callers;
	outcome o;
	double waiting = 0;

	for (int64_t now = 10 * SECOND; now < 50 * SECOND; now += 10 * MS) {
		if (now == 12 * SECOND)
			for (int i = 0; i < 200; i++)
				callers.push_back({ now + 15 * SECOND, now });
		if (now < 40 * SECOND && g_rand_double(rnd) < 0.1)
			callers.push_back({ now + 15 * SECOND, now });
		if (waiting > 0) {
			double done = std::min(waiting, 0.2);

			waiting -= done;
			if (g_rand_double(rnd) < done)
				bb_returns_served(&r, 50 * MS, now);
		}
		for (size_t i = callers.size(); i-- > 0;) {
			caller &c = callers[i];
			int64_t left = c.deadline_us - now;
			struct bb_load load = {};

			if (c.return_us > now)
				continue;
			if (left <= 0 || waiting < 40) {
				o.lost += left <= 0;
				o.served += left > 0;
				waiting += left > 0;
				callers.erase(callers.begin() + (long)i);
				continue;
			}
			o.refused++;
			load.slots = 1;
			load.queued = (uint32_t)waiting;
			struct bb_refusal x = { bb_returns_wait_us(&r, &load),
						left, g_rand_double(rnd) };
			int64_t after = constant ?
						SECOND :
						bb_returns_promise(&r, &x, now);
			c.return_us = now + std::min(after, left / 3);
		}
	}
	o.lost += (int)callers.size();
	g_rand_free(rnd);
	printf("%s: %d served, %d refusals, %d callers lost\n",
	       constant ? "constant" : "promised", o.served, o.refused, o.lost);
	return o;
}
} // namespace

// Guards against refusals that multiply because callers return too early, and
// against callers that are lost because they return too late.
TEST(RetryAfter, CallersOfABurst)
{
	outcome before = replay(true);
	outcome after = replay(false);

	EXPECT_LE(after.refused * 2, before.refused);
	EXPECT_LE(after.lost, before.lost);
}

// The model of expected costs on a driven clock: kinds that look alike and cost
// very different amounts, heavy tails, a kind whose cost changes, slow servers.
#include <gtest/gtest.h>
#include <cmath>
#include <random>
#include <string>

#include "baobabward/clock.h"
#include "baobabward/cost.h"

namespace
{
constexpr int64_t MS = BB_US_PER_MS;
constexpr int64_t S = BB_US_PER_S;

struct bb_bytes bytes(const std::string &s)
{
	return { s.data(), s.size() };
}

const std::string SERVICE = "service", METHOD = "GET";

struct Model {
	struct bb_cost *c;
	int64_t now = 1000 * S;

	explicit Model(size_t max = 0) : c(bb_cost_new(max))
	{
	}
	~Model()
	{
		bb_cost_delete(c);
	}
	void learn(const std::string &route, const std::string &account,
		   int64_t us, uint32_t speed = 0, size_t body = 0,
		   uint64_t response = 0)
	{
		struct bb_cost_kind k = { bytes(SERVICE), bytes(route),
					  bytes(METHOD), bytes(account), body };
		struct bb_cost_sample s = { us, speed, response };

		bb_cost_learn(c, &k, &s, now);
		now += 100 * MS;
	}
	struct bb_cost_estimate expect(const std::string &route,
				       const std::string &account,
				       size_t body = 0)
	{
		struct bb_cost_kind k = { bytes(SERVICE), bytes(route),
					  bytes(METHOD), bytes(account), body };

		return bb_cost_expect(c, &k);
	}
};

// Lognormal times with this mean and spread, of which 1% take five times as
// long.
struct Times {
	std::mt19937_64 g{ 11 };
	std::normal_distribution<double> normal;
	std::uniform_real_distribution<double> uniform;

	int64_t next(double mean_us, double spread)
	{
		double s2 = std::log(1 + spread * spread);
		double x =
			mean_us * std::exp(std::sqrt(s2) * normal(g) - s2 / 2);

		return (int64_t)(uniform(g) < 0.01 ? 5 * x : x);
	}
};
} // namespace

// Guards against an estimate for a service of which nothing is known, and
// against an unknown kind that does not get the mean of its service.
TEST(Cost, UnknownKindsHaveTheMeanOfTheService)
{
	Model m;

	EXPECT_EQ(0, m.expect("a", "x").mean_us);
	for (int i = 0; i < 100; i++) {
		m.learn("a", "x", 100 * MS);
		m.learn("b", "x", 700 * MS);
	}
	EXPECT_NEAR(400 * MS, m.expect("c", "y").mean_us, 20 * MS);
	EXPECT_NEAR(400 * MS, m.expect("c", "y").service_mean_us, 20 * MS);
	EXPECT_NEAR(100 * MS, m.expect("a", "y").mean_us, 40 * MS);
	EXPECT_NEAR(700 * MS, m.expect("b", "y").mean_us, 40 * MS);
}

// Guards against accounts and bodies that look alike by their route and are
// given the same cost.
TEST(Cost, AccountAndSizeOfTheBodyTellKindsApart)
{
	Model m;

	for (int i = 0; i < 60; i++) {
		m.learn("a", "light", 50 * MS);
		m.learn("a", "heavy", 900 * MS);
		m.learn("b", "x", 100 * MS, 0, 1000);
		m.learn("b", "x", 800 * MS, 0, 100000);
	}
	EXPECT_LT(m.expect("a", "light").mean_us, 150 * MS);
	EXPECT_GT(m.expect("a", "heavy").mean_us, 800 * MS);
	EXPECT_LT(m.expect("b", "x", 900).mean_us, 200 * MS);
	EXPECT_GT(m.expect("b", "x", 110000).mean_us, 700 * MS);
}

// Guards against one sample of a rare kind that decides its estimate.
TEST(Cost, OneSampleHasLittleInfluence)
{
	Model m;

	for (int i = 0; i < 100; i++)
		m.learn("a", "x", 100 * MS);
	m.learn("a", "rare", 2000 * MS);
	EXPECT_LT(m.expect("a", "rare").mean_us, 600 * MS);
	EXPECT_LT(m.expect("a", "x").mean_us, 200 * MS);
}

// Guards against a mean that heavy tails distort, and a tail that is missed.
TEST(Cost, HeavyTails)
{
	Model m;
	Times t;
	double worst = 0;

	for (int i = 0; i < 5000; i++) {
		struct bb_cost_estimate e;

		m.learn("a", "x", t.next(300.0 * MS, 0.8));
		e = m.expect("a", "x");
		if (i < 50)
			continue;
		worst = std::fmax(worst, std::fabs(std::log((double)e.mean_us /
							    (312.0 * MS))));
		EXPECT_GT(e.tail_us, e.mean_us);
	}
	RecordProperty("largest_factor", std::to_string(std::exp(worst)));
	EXPECT_LT(std::exp(worst), 1.8);
}

// Guards against an estimate that keeps the cost of yesterday: after 40
// requests of the new cost it is within a third of it.
TEST(Cost, FollowsAKindWhoseCostChanges)
{
	Model m;
	Times t;

	for (int i = 0; i < 500; i++)
		m.learn("a", "x", t.next(100.0 * MS, 0.5));
	for (int i = 0; i < 40; i++)
		m.learn("a", "x", t.next(1000.0 * MS, 0.5));
	EXPECT_GT(m.expect("a", "x").mean_us, 660 * MS);
	EXPECT_GT(m.expect("a", "new").mean_us, 660 * MS);
	for (int i = 0; i < 100; i++)
		m.learn("a", "x", t.next(100.0 * MS, 0.5));
	EXPECT_LT(m.expect("a", "x").mean_us, 180 * MS);
}

// Guards against costs that include the speed of the server that ran the
// request, and against a change of all servers that never reaches the costs.
TEST(Cost, SlowServersDoNotRaiseTheCost)
{
	Model m;

	for (int i = 0; i < 300; i++) {
		m.learn("a", "x", 100 * MS, 1150);
		m.learn("a", "x", 100 * MS, 1150);
		m.learn("b", "x", 200 * MS, 575);
	}
	EXPECT_NEAR((double)m.expect("a", "x").mean_us,
		    (double)m.expect("b", "x").mean_us, 15 * MS);
	for (int i = 0; i < 300; i++)
		m.learn("a", "x", 300 * MS, 333);
	EXPECT_NEAR(300 * MS, m.expect("a", "x").mean_us, 20 * MS);
}

// Guards against a bad speed report that changes costs without limit.
TEST(Cost, SpeedOutOfRangeCountsAsTheLimit)
{
	Model m;

	for (int i = 0; i < 100; i++)
		m.learn("a", "x", 100 * MS, 1000);
	for (int i = 0; i < 3; i++)
		m.learn("a", "x", 100 * MS, UINT32_MAX);
	EXPECT_LT(m.expect("a", "x").mean_us, 130 * MS);
	for (int i = 0; i < 3; i++)
		m.learn("a", "x", 100 * MS, 1);
	EXPECT_GT(m.expect("a", "x").mean_us, 60 * MS);
}

// Guards against one absurd time of a message that decides an estimate, and
// against one below 0.
TEST(Cost, AbsurdTimesAreBounded)
{
	Model m;

	m.learn("a", "x", INT64_MAX);
	EXPECT_LE(m.expect("a", "x").mean_us, 66 * S);
	for (int i = 0; i < 400; i++)
		m.learn("a", "x", 100 * MS);
	m.learn("a", "x", INT64_MAX);
	m.learn("a", "x", INT64_MIN);
	EXPECT_GE(m.expect("a", "x").mean_us, 100 * MS);
	EXPECT_LT(m.expect("a", "x").mean_us, 160 * MS);
}

// Guards against a model that grows with names that callers make up.
TEST(Cost, MemoryIsBounded)
{
	Model m(64);

	for (int i = 0; i < 5000; i++) {
		m.learn("a", "account" + std::to_string(i), 100 * MS);
		ASSERT_LE(bb_cost_kinds(m.c), 64u);
	}
	EXPECT_NEAR(100 * MS, m.expect("a", "new").mean_us, MS);
}

// Guards against a size of responses that is not that of the route.
TEST(Cost, LearnsTheSizeOfResponses)
{
	Model m;

	for (int i = 0; i < 50; i++) {
		m.learn("download", "x", 100 * MS, 0, 0, 90000);
		m.learn("lookup", "x", 100 * MS, 0, 0, 500);
	}
	EXPECT_NEAR(90000, m.expect("download", "x").response_bytes, 5000);
	EXPECT_NEAR(500, m.expect("lookup", "x").response_bytes, 2000);
}

// Guards against a request that runs longer than expected and counts as nearly
// done: with a heavy tail, the older it is, the longer it still takes.
TEST(Cost, RemainingTimeGrowsWithTheAgeInAHeavyTail)
{
	struct bb_cost_dist d = {};

	for (int i = 0; i < 300; i++)
		bb_cost_dist_add(&d, i % 10 ? 100 * MS : 2000 * MS, i * MS);
	EXPECT_NEAR(290 * MS, bb_cost_dist_mean_us(&d), 80 * MS);
	EXPECT_GT(bb_cost_dist_remaining_us(&d, 200 * MS), 1200 * MS);
	EXPECT_LT(bb_cost_dist_remaining_us(&d, 50 * MS), 500 * MS);
	EXPECT_EQ(2500 * MS, bb_cost_dist_remaining_us(&d, 10 * S));
	EXPECT_LT(bb_cost_dist_quantile_us(&d, 0.5), 200 * MS);
	EXPECT_GT(bb_cost_dist_quantile_us(&d, 0.99), 1500 * MS);
}

// Guards against a slow or cold backend server whose speed is not seen within
// some requests, and against one slow request that makes a server slow.
TEST(ServerCost, MeasuresTheSpeed)
{
	struct bb_server_cost s = {};
	int64_t now = 1000 * S;

	EXPECT_EQ(1000u, bb_server_cost_speed(&s, now));
	bb_server_cost_finished(&s, 100 * MS, 500 * MS, now);
	EXPECT_GT(bb_server_cost_speed(&s, now), 600u);
	for (int i = 0; i < 60; i++)
		bb_server_cost_finished(&s, 100 * MS, 105 * MS,
					now += 100 * MS);
	EXPECT_NEAR(950, bb_server_cost_speed(&s, now), 60);
	for (int i = 0; i < 20; i++)
		bb_server_cost_finished(&s, 100 * MS, 300 * MS,
					now += 100 * MS);
	EXPECT_LT(bb_server_cost_speed(&s, now), 560u);
	EXPECT_NEAR(1000, bb_server_cost_speed(&s, now + 120 * S), 30);
	for (int i = 0; i < 100; i++)
		bb_server_cost_finished(&s, 100 * MS, 100 * S, now += MS);
	EXPECT_GE(bb_server_cost_speed(&s, now), BB_SPEED_MIN_PERMILLE);
}

// Guards against remaining work that ignores the age of a running request or the
// speed of the server.
TEST(ServerCost, RemainingWorkFollowsAgeAndSpeed)
{
	struct bb_server_cost s = {};
	int64_t now = 1000 * S;
	Times t;

	EXPECT_EQ(100 * MS, bb_server_cost_remaining_us(&s, 100 * MS, -1, now));
	EXPECT_EQ(60 * MS,
		  bb_server_cost_remaining_us(&s, 100 * MS, 40 * MS, now));
	EXPECT_EQ(25 * MS,
		  bb_server_cost_remaining_us(&s, 100 * MS, 400 * MS, now));
	for (int i = 0; i < 400; i++)
		bb_server_cost_finished(&s, 200 * MS, t.next(400.0 * MS, 0.5),
					now += 100 * MS);
	EXPECT_NEAR(400 * MS,
		    bb_server_cost_remaining_us(&s, 200 * MS, -1, now),
		    100 * MS);
	EXPECT_NEAR(400 * MS, bb_server_cost_remaining_us(&s, 200 * MS, 0, now),
		    120 * MS);
	EXPECT_LT(bb_server_cost_remaining_us(&s, 200 * MS, 300 * MS, now),
		  320 * MS);
	EXPECT_EQ(0, bb_server_cost_remaining_us(&s, 0, 0, now));
}

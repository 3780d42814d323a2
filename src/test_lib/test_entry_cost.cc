// The entry side sends the expected cost of requests and learns it from results.
#include "entry_fixture.h"

namespace
{
// Runs one request that takes @service_us and returns the cost that was sent.
int64_t run(Entry &x, const char *route, int64_t service_us)
{
	std::string body(300, 'x');
	struct bb_message_result r = {};

	x.finished = false;
	EXPECT_NE(nullptr, x.submit(route, 10 * BB_US_PER_S));
	r.id = x.executes.back().id;
	r.receiver_incarnation = x.executes.back().incarnation;
	r.verdict = BB_VERDICT_RAN;
	r.status = 200;
	r.service_us = service_us;
	r.load.slots = 5;
	r.load.speed_permille = 1000;
	r.body = { body.data(), body.size() };
	bb_entry_result(x.e, &r);
	EXPECT_TRUE(x.finished);
	return x.executes.back().cost_us;
}
} // namespace

// Guards against requests without their expected cost where the policy is on, and
// against a cost that is not that of the route.
TEST(EntryCost, SendsTheLearnedCost)
{
	Entry x;

	x.extra = ",\"policies\":{\"place_by_cost\":1}";
	x.configure(2, { 0, 1, 2, 3, 4 });
	x.leave_own_host();
	x.welcome_all();
	EXPECT_EQ(0, run(x, "book", 200 * BB_US_PER_MS));
	for (int i = 0; i < 40; i++) {
		run(x, "book", 200 * BB_US_PER_MS);
		run(x, "book-get", 900 * BB_US_PER_MS);
	}
	EXPECT_NEAR(200 * BB_US_PER_MS, run(x, "book", 0), 40 * BB_US_PER_MS);
	EXPECT_NEAR(900 * BB_US_PER_MS, run(x, "book-get", 0),
		    60 * BB_US_PER_MS);
}

// Guards against a cost that is learned or sent where the policy is off.
TEST(EntryCost, NothingIsSentWithoutThePolicy)
{
	Entry x;

	x.leave_own_host();
	x.welcome_all();
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(0, run(x, "book", 200 * BB_US_PER_MS));
	EXPECT_EQ(nullptr, x.e->cost);
}

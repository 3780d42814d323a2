// Which backend server a request tries next, and when it may wait.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "baobabward/attempt.h"
#include "baobabward/clock.h"
#include "config_fixture.h"

namespace
{

struct Request {
	Config config;
	struct bb_balance *balance;
	struct bb_retry_budget budget;
	struct bb_attempt_history made = {};
	struct bb_attempt_limits rules = {};
	int64_t now = 0;

	explicit Request(int servers) : config(parse(pool_document(servers)))
	{
		struct bb_balance_options o = {};
		struct bb_retry_limits limits = bb_retry_limits_default();

		o.config = config.get();
		o.zone_penalty = -1;
		o.seed = 5;
		balance = bb_balance_new(&o);
		bb_retry_budget_init(&budget, &limits, 0);
		rules.max_slot_searches = 3;
		rules.deadline_us = 4 * BB_US_PER_S;
	}
	~Request()
	{
		bb_balance_delete(balance);
	}
	bool choose()
	{
		struct bb_choice c =
			bb_attempt_choose(&made, &rules, balance, now);

		if (c.path)
			bb_path_release(c.path);
		now += 3 * BB_US_PER_MS;
		return c.backend != BB_NO_ROW;
	}
	bool again(enum bb_verdict verdict, enum bb_reason reason,
		   unsigned int status = 0)
	{
		struct bb_attempt_outcome end = { verdict, reason, status };

		return bb_attempt_decide_retry(&made, &rules, &end, &budget,
					       now);
	}
};

} // namespace

// Guards against a request that is refused, with nearly all of its time left,
// because those it asked were full or asked to be avoided in turn.
TEST(Attempt, RedirectsAndSearchesAreNoReasonToRefuse)
{
	Request x(84);

	for (int i = 0; i < 4; i++) {
		ASSERT_TRUE(x.choose());
		EXPECT_FALSE(x.made.last_resort);
		ASSERT_TRUE(x.again(BB_VERDICT_NOT_RUN, BB_REASON_EJECTED));
		ASSERT_TRUE(x.choose());
		ASSERT_TRUE(x.again(BB_VERDICT_NOT_RUN, BB_REASON_QUEUE_FULL));
	}
	ASSERT_TRUE(x.choose());
	EXPECT_TRUE(x.made.last_resort);
	EXPECT_TRUE(x.made.may_wait);
	std::set<uint32_t> asked(x.made.backends,
				 x.made.backends + x.made.nr - 1);
	EXPECT_EQ(8u, asked.size());
}

// Guards against a call that never ends.
TEST(Attempt, NumberIsBounded)
{
	Request x(84);
	int n = 1;

	ASSERT_TRUE(x.choose());
	while (x.again(BB_VERDICT_NOT_RUN, BB_REASON_EJECTED) && n < 100) {
		ASSERT_TRUE(x.choose());
		n++;
	}
	EXPECT_EQ(BB_ATTEMPTS_MAX, n);
}

// Guards against a second execution of a request that must run once.
TEST(Attempt, NothingFollowsWhatMayHaveRun)
{
	Request x(5);

	ASSERT_TRUE(x.choose());
	EXPECT_FALSE(x.again(BB_VERDICT_MAY_HAVE_RUN, BB_REASON_PEER_SILENT));
	EXPECT_EQ(BB_VERDICT_MAY_HAVE_RUN, x.made.verdict);
}

// Guards against more backend servers than the operators allow a request.
TEST(Attempt, MostBackendServersReached)
{
	Request x(5);

	x.rules.idempotent = true;
	x.rules.max_backends_reached = 2;
	ASSERT_TRUE(x.choose());
	EXPECT_TRUE(x.again(BB_VERDICT_NOT_RUN, BB_REASON_BACKEND_REFUSED));
	ASSERT_TRUE(x.choose());
	EXPECT_FALSE(x.again(BB_VERDICT_NOT_RUN, BB_REASON_BACKEND_REFUSED));
	EXPECT_EQ(2u, x.made.backends_reached);
}

// Guards against "not run" after an earlier attempt that may have run.
TEST(Attempt, VerdictCoversAllAttempts)
{
	Request x(5);

	x.rules.idempotent = true;
	ASSERT_TRUE(x.choose());
	ASSERT_TRUE(x.again(BB_VERDICT_MAY_HAVE_RUN, BB_REASON_BACKEND_FAILED));
	ASSERT_TRUE(x.choose());
	x.again(BB_VERDICT_NOT_RUN, BB_REASON_QUEUE_FULL);
	EXPECT_EQ(BB_VERDICT_MAY_HAVE_RUN, x.made.verdict);
}

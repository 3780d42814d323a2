// Tests of the attempts of a request: choice of the next backend server,
// waiting for a slot, and limits on further attempts.
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
	struct bb_attempt_history history = {};
	struct bb_attempt_limits limits = {};
	int64_t now = 0;

	explicit Request(int servers) : config(parse(pool_document(servers)))
	{
		struct bb_balance_options o = {};
		struct bb_retry_limits retry_limits = bb_retry_limits_default();

		o.config = config.get();
		o.zone_penalty = -1;
		o.seed = 5;
		balance = bb_balance_new(&o);
		bb_retry_budget_init(&budget, &retry_limits, 0);
		limits.max_slot_searches = 3;
		limits.deadline_us = 4 * BB_US_PER_S;
	}
	~Request()
	{
		bb_balance_delete(balance);
	}
	bool choose()
	{
		struct bb_choice c =
			bb_attempt_choose(&history, &limits, balance, now);

		if (c.path)
			bb_path_release(c.path);
		now += 3 * BB_US_PER_MS;
		return c.backend != BB_NO_ROW;
	}
	bool should_retry(enum bb_verdict verdict, enum bb_reason reason,
			  unsigned int status = 0)
	{
		struct bb_attempt_outcome outcome = { verdict, reason, status,
						      0 };

		return bb_attempt_decide_retry(&history, &limits, &outcome,
					       &budget, now);
	}
};

} // namespace

// Guards against a request that is refused long before its deadline because
// each backend server that it asked in turn had no free slot or redirected it.
TEST(Attempt, RedirectsAndFailedSearchesDoNotEndRequest)
{
	Request x(84);

	for (int i = 0; i < 4; i++) {
		ASSERT_TRUE(x.choose());
		EXPECT_FALSE(x.history.last_resort);
		ASSERT_TRUE(
			x.should_retry(BB_VERDICT_NOT_RUN, BB_REASON_EJECTED));
		ASSERT_TRUE(x.choose());
		ASSERT_TRUE(x.should_retry(BB_VERDICT_NOT_RUN,
					   BB_REASON_QUEUE_FULL));
	}
	ASSERT_TRUE(x.choose());
	EXPECT_TRUE(x.history.last_resort);
	EXPECT_TRUE(x.history.may_wait);
	std::set<uint32_t> asked(x.history.backends,
				 x.history.backends + x.history.nr - 1);
	EXPECT_EQ(8u, asked.size());
}

// Guards against a request that is redirected forever.
TEST(Attempt, NumberOfAttemptsIsBounded)
{
	Request x(84);
	int n = 1;

	ASSERT_TRUE(x.choose());
	while (x.should_retry(BB_VERDICT_NOT_RUN, BB_REASON_EJECTED) &&
	       n < 100) {
		ASSERT_TRUE(x.choose());
		n++;
	}
	EXPECT_EQ(BB_ATTEMPTS_MAX, n);
}

// Guards against a second execution of a non-idempotent request: after an
// attempt that may have run, no other attempt follows.
TEST(Attempt, NonIdempotentRequestIsNotRetriedIfItMayHaveRun)
{
	Request x(5);

	ASSERT_TRUE(x.choose());
	EXPECT_FALSE(
		x.should_retry(BB_VERDICT_MAY_HAVE_RUN, BB_REASON_PEER_SILENT));
	EXPECT_EQ(BB_VERDICT_MAY_HAVE_RUN, x.history.verdict);
}

// Guards against a request that reaches more backend servers than its route
// allows.
TEST(Attempt, BackendServersReachedAreLimited)
{
	Request x(5);

	x.limits.idempotent = true;
	x.limits.max_backends_reached = 2;
	ASSERT_TRUE(x.choose());
	EXPECT_TRUE(
		x.should_retry(BB_VERDICT_NOT_RUN, BB_REASON_BACKEND_REFUSED));
	ASSERT_TRUE(x.choose());
	EXPECT_FALSE(
		x.should_retry(BB_VERDICT_NOT_RUN, BB_REASON_BACKEND_REFUSED));
	EXPECT_EQ(2u, x.history.backends_reached);
}

// Guards against the verdict "not run" for a request of which an earlier
// attempt may have run.
TEST(Attempt, VerdictCoversAllAttempts)
{
	Request x(5);

	x.limits.idempotent = true;
	ASSERT_TRUE(x.choose());
	ASSERT_TRUE(x.should_retry(BB_VERDICT_MAY_HAVE_RUN,
				   BB_REASON_BACKEND_FAILED));
	ASSERT_TRUE(x.choose());
	x.should_retry(BB_VERDICT_NOT_RUN, BB_REASON_QUEUE_FULL);
	EXPECT_EQ(BB_VERDICT_MAY_HAVE_RUN, x.history.verdict);
}

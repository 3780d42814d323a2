#include <glib.h>
#include <gtest/gtest.h>
#include <cstdio>
#include <thread>
#include <vector>

#include "baobabward/retry.h"

static bool one_of(int x, std::initializer_list<int> set)
{
	for (int y : set)
		if (x == y)
			return true;
	return false;
}

// The rules of bb_retry_classify(), written independently of its order of
// checks.
static int expected_class(const struct bb_retry_attempt &a, int64_t now)
{
	bool safe = a.idempotent || a.verdict == BB_VERDICT_NOT_RUN;
	bool redirect =
		one_of(a.reason,
		       { BB_REASON_EJECTED, BB_REASON_LEAVING,
			 BB_REASON_STOPPING, BB_REASON_UNKNOWN_BACKEND,
			 BB_REASON_WRONG_INCARNATION, BB_REASON_PEER_LIMIT });
	bool failure =
		one_of(a.reason,
		       { BB_REASON_BACKEND_CONNECT, BB_REASON_BACKEND_FAILED,
			 BB_REASON_BACKEND_TRUNCATED, BB_REASON_BACKEND_REFUSED,
			 BB_REASON_MISDIRECTED, BB_REASON_PEER_SILENT });
	/* The request was not sent, for example because HELLO had no answer. */
	bool unsent = a.reason == BB_REASON_PEER_SILENT;
	bool full = one_of(a.reason,
			   { BB_REASON_QUEUE_FULL, BB_REASON_BODY_MEMORY });
	bool answered = a.reason == BB_REASON_NONE;
	bool error = answered && one_of((int)a.status, { 500, 502, 504 });
	bool in_time = now + a.min_attempt_us < a.deadline_us;

	if (safe && in_time && a.attempts < 3) {
		if ((redirect || unsent) && a.verdict == BB_VERDICT_NOT_RUN)
			return BB_RETRY_REDIRECT;
		if (redirect || failure)
			return BB_RETRY_CHARGED;
		if ((full || (answered && a.status == 503)) && a.attempts == 1)
			return BB_RETRY_OVERLOAD;
		if (error)
			return BB_RETRY_SERVER_ERROR;
	}
	return BB_RETRY_NEVER;
}

// Guards against a retry of a request that may run twice, has no time left, or
// amplifies an overload, for any combination of verdict, reason and status.
TEST(Retry, AllCombinations)
{
	const int64_t now = 1000000;
	const int64_t left[] = { -1, 0, 5, 6 };
	const unsigned int status[] = { 0,   200, 404, 429, 500,
					501, 502, 503, 504, 505 };
	size_t retried = 0;

	/* Each digit of i is the index of one value. */
	for (size_t i = 0; i < 2 * BB_VERDICT_COUNT * BB_REASON_COUNT * 4 * 4 *
				       G_N_ELEMENTS(status);
	     i++) {
		size_t rest = i;
		auto digit = [&rest](size_t nr) {
			size_t n = rest % nr;

			rest /= nr;
			return n;
		};
		struct bb_retry_attempt a = {};
		int c;

		a.idempotent = digit(2);
		a.verdict = (enum bb_verdict)digit(BB_VERDICT_COUNT);
		a.reason = (enum bb_reason)digit(BB_REASON_COUNT);
		a.attempts = 1 + (uint32_t)digit(4);
		a.deadline_us = now + left[digit(4)];
		a.min_attempt_us = 5;
		a.status = status[digit(G_N_ELEMENTS(status))];
		c = bb_retry_classify(&a, now);
		EXPECT_EQ(expected_class(a, now), c);
		retried += c != BB_RETRY_NEVER;
		if (c != BB_RETRY_NEVER && !a.idempotent)
			EXPECT_EQ(a.verdict, BB_VERDICT_NOT_RUN);
	}
	EXPECT_GT(retried, 0u);
}

static struct bb_retry_attempt attempt(enum bb_reason reason)
{
	return { true, BB_VERDICT_NOT_RUN, reason, 1, 1000000, 0, 0, false,
		 false };
}

// Initializes a budget with the default limits at time 0.
static void init(struct bb_retry_budget *b)
{
	struct bb_retry_limits limits = bb_retry_limits_default();

	bb_retry_budget_init(b, &limits, 0);
}

// Guards against a budget that sends a failing service more than 10% additional
// requests, or that has no reserve for a node with few requests.
TEST(Retry, BudgetBoundsRetries)
{
	struct bb_retry_budget b;
	struct bb_retry_attempt a = attempt(BB_REASON_BACKEND_CONNECT);
	int retries = 0;

	init(&b);
	for (int i = 0; i < 1000; i++) {
		bb_retry_budget_deposit(&b);
		retries += bb_retry_decide(&b, &a, 0) == BB_RETRY_YES;
	}
	/* The initial 10, and a tenth of the 999 attempts after the first one,
	 * at which the budget was full. */
	EXPECT_EQ(10 + 999 / 10, retries);
	EXPECT_EQ(BB_RETRY_OVER_BUDGET, bb_retry_decide(&b, &a, 0));
	a.deadline_us = INT64_MAX;
	EXPECT_EQ(BB_RETRY_YES, bb_retry_decide(&b, &a, 1000000));
	EXPECT_EQ(BB_RETRY_OVER_BUDGET, bb_retry_decide(&b, &a, 1000000));
}

// Guards against a fleet whose nodes have, in sum, more retries in reserve than
// the platform allows beyond the share of the first attempts.
TEST(Retry, FleetStaysWithinItsSlack)
{
	for (size_t hosts : { 1, 22, 29, 50 }) {
		const uint32_t slack = 56;
		struct bb_retry_fleet_limits fleet = { 10, slack, 0, hosts };
		auto limits = bb_retry_limits_of_fleet(&fleet);
		auto a = attempt(BB_REASON_BACKEND_CONNECT);
		size_t retries = 0;

		a.deadline_us = INT64_MAX;
		for (size_t h = 0; h < hosts; h++) {
			struct bb_retry_budget b;

			bb_retry_budget_init(&b, &limits, 0);
			b.tokens = limits.max_tokens;
			for (int64_t now = 0; now < 10000000; now += 10000)
				retries += bb_retry_decide(&b, &a, now) ==
					   BB_RETRY_YES;
		}
		EXPECT_LE(retries, slack) << hosts << " hosts";
		EXPECT_GE(retries, hosts);
	}
}

// Load pattern: backend servers fail for a minute, and the slack of the fleet is
// used up in the first seconds of it. Guards against slack that is granted only
// once, and against more than all of it in any window.
TEST(Retry, SlackIsGrantedAgainInEachWindow)
{
	const int64_t window_us = 10 * 1000000, step_us = 10000;
	const uint32_t slack = 472;

	for (size_t hosts : { 1, 24, 101, 353, 472 }) {
		struct bb_retry_fleet_limits fleet = { 0, slack, window_us,
						       hosts };
		auto limits = bb_retry_limits_of_fleet(&fleet);
		auto a = attempt(BB_REASON_BACKEND_CONNECT);
		std::vector<size_t> at(6 * window_us / step_us);
		size_t all = 0, in_window = 0;

		a.deadline_us = INT64_MAX;
		for (size_t h = 0; h < hosts; h++) {
			struct bb_retry_budget b;

			// Nodes start at different times.
			bb_retry_budget_init(&b, &limits, -(int64_t)h * 7919);
			b.tokens = limits.max_tokens;
			for (size_t i = 0; i < at.size(); i++)
				while (bb_retry_decide(&b, &a,
						       (int64_t)i * step_us) ==
				       BB_RETRY_YES)
					at[i]++;
		}
		for (size_t i = 0; i < at.size(); i++) {
			const size_t steps = window_us / step_us;

			all += at[i];
			in_window += at[i];
			if (i >= steps)
				in_window -= at[i - steps];
			EXPECT_LE(in_window, slack) << hosts;
		}
		// Half of the slack in each further window, where a node's part
		// is more than the one retry that it may save up.
		if (hosts <= 24)
			EXPECT_GE(all, slack * 5 / 2) << hosts;
	}
}

namespace
{

/*
 * Load pattern: backend servers shed a third of their requests for 9 s although
 * they have free slots. 101 nodes get 560 requests per second in all; each shed
 * request may be retried once.
 */
struct Shedding {
	static const size_t kHosts = 101;
	struct bb_retry_fleet_limits fleet = { 15, 156, 0, kHosts };
	struct bb_retry_limits limits = bb_retry_limits_of_fleet(&fleet);
	std::vector<struct bb_retry_budget> budgets{ kHosts };
	GRand *random = g_rand_new_with_seed(3);
	int requests = 0, wanted = 0, retries = 0;

	Shedding()
	{
		for (auto &b : budgets)
			bb_retry_budget_init(&b, &limits, 0);
	}
	~Shedding()
	{
		g_rand_free(random);
	}
	void run(int64_t from_us, int64_t to_us, double shed)
	{
		auto a = attempt(BB_REASON_BACKEND_REFUSED);

		a.deadline_us = INT64_MAX;
		for (int64_t now = from_us; now < to_us; now += 1786) {
			auto &b = budgets[(size_t)g_rand_int_range(random, 0,
								   kHosts)];

			requests++;
			bb_retry_budget_deposit(&b);
			if (g_rand_double(random) >= shed)
				continue;
			wanted++;
			retries += bb_retry_decide(&b, &a, now) == BB_RETRY_YES;
		}
	}
};

} // namespace

// Guards against a budget that is not used up although requests fail for lack
// of a retry, and against a budget that is exceeded.
TEST(Retry, FleetUsesItsBudgetWhenServersShed)
{
	Shedding x;

	x.run(0, 10000000, 0.01);
	x.requests = x.wanted = x.retries = 0;
	x.run(10000000, 19000000, 0.34);
	RecordProperty("retries", x.retries);
	EXPECT_GT(x.wanted, x.requests / 4);
	EXPECT_LE(x.retries, x.requests * 15 / 100 + 156);
	/* Each node may be left with tokens that it got while no request asked
	 * for a retry, and with a fraction of a retry. */
	EXPECT_GE(x.retries,
		  x.requests * 15 / 100 + 156 - 2 * (int)Shedding::kHosts);
}

// Guards against a fleet that gets its slack again when all nodes restart.
TEST(Retry, RestartOfAllNodesAddsNoRetries)
{
	Shedding x;

	x.run(0, 1000000, 1);
	EXPECT_LE(x.retries, x.requests * 15 / 100);
}

// Guards against retries after full queues that use up the budget for failed
// attempts, and against redirects that are refused for lack of budget.
TEST(Retry, FullQueuesUseHalfOfTheBudget)
{
	struct bb_retry_budget b;
	struct bb_retry_attempt full = attempt(BB_REASON_QUEUE_FULL);
	struct bb_retry_attempt failed = attempt(BB_REASON_BACKEND_CONNECT);
	struct bb_retry_attempt ejected = attempt(BB_REASON_EJECTED);
	int n = 0;

	init(&b);
	for (int i = 0; i < 100; i++)
		n += bb_retry_decide(&b, &full, 0) == BB_RETRY_YES;
	EXPECT_EQ(3, n);
	n = 0;
	for (int i = 0; i < 100; i++)
		n += bb_retry_decide(&b, &failed, 0) == BB_RETRY_YES;
	EXPECT_EQ(4, n);
	EXPECT_EQ(BB_RETRY_YES, bb_retry_decide(&b, &ejected, 0));
}

// Guards against a client account whose requests all end with a server error
// and use up the budget for requests that got no answer.
TEST(Retry, ServerErrorsUseHalfOfTheBudget)
{
	struct bb_retry_budget b;
	struct bb_retry_attempt error = attempt(BB_REASON_NONE);
	struct bb_retry_attempt failed = attempt(BB_REASON_BACKEND_CONNECT);
	int n = 0;

	error.verdict = BB_VERDICT_RAN;
	error.status = 500;
	init(&b);
	for (int i = 0; i < 100; i++)
		n += bb_retry_decide(&b, &error, 0) == BB_RETRY_YES;
	EXPECT_EQ(6, n);
	EXPECT_EQ(BB_RETRY_YES, bb_retry_decide(&b, &failed, 0));
}

// Load pattern: 30% of the backend servers fail 85% of their requests at once,
// seen by one of 95 nodes that share a slack of 150 retries. Guards against
// retries of full queues that use up what failures at once need, and against a
// service that fails as a whole and gets more than the budget of a platform that
// allows 20%.
TEST(Retry, FailuresAtOnceAreRetried)
{
	struct bb_retry_fleet_limits fleet = { 15, 150, 10000000, 95 };
	struct bb_retry_limits limits = bb_retry_limits_of_fleet(&fleet);
	auto full = attempt(BB_REASON_QUEUE_FULL);
	auto error = attempt(BB_REASON_NONE);

	error.verdict = BB_VERDICT_RAN;
	error.status = 500;
	error.deadline_us = full.deadline_us = INT64_MAX;
	for (bool reported : { false, true }) {
		struct bb_retry_budget b;
		int wanted = 0, retried = 0, all_failed = 0, n = 4000;
		GRand *random = g_rand_new_with_seed(11);

		full.spare_failures = error.spare_failures = reported;
		error.at_once = reported;
		bb_retry_budget_init(&b, &limits, 0);
		for (int i = 0; i < n; i++) {
			bb_retry_budget_deposit(&b);
			if (g_rand_double(random) < 0.1)
				bb_retry_decide(&b, &full, 0);
			/* A third of the requests are lookups. */
			if (g_rand_double(random) >= 0.25 / 3)
				continue;
			wanted++;
			retried += bb_retry_decide(&b, &error, 0) ==
				   BB_RETRY_YES;
		}
		for (int i = 0; i < n; i++) {
			bb_retry_budget_deposit(&b);
			all_failed += bb_retry_decide(&b, &error, 0) ==
				      BB_RETRY_YES;
		}
		RecordProperty(reported ? "after" : "before",
			       retried * 100 / wanted);
		printf("retries of failures at once, in percent: %d%s\n",
		       retried * 100 / wanted, reported ? " with reports" : "");
		if (reported)
			EXPECT_GT(retried * 100, wanted * 85);
		EXPECT_LT(all_failed, n * 16 / 100);
		g_rand_free(random);
	}
}

// Guards against lost updates when several threads share one budget.
TEST(Retry, ThreadsShareOneBudget)
{
	struct bb_retry_budget b;
	std::vector<std::thread> threads;
	int retries[4] = {};

	init(&b);
	for (int t = 0; t < 4; t++)
		threads.emplace_back([&b, &retries, t] {
			auto a = attempt(BB_REASON_BACKEND_CONNECT);
			for (int i = 0; i < 5000; i++) {
				bb_retry_budget_deposit(&b);
				retries[t] += bb_retry_decide(&b, &a, 0) ==
					      BB_RETRY_YES;
			}
		});
	for (auto &t : threads)
		t.join();
	EXPECT_LE(retries[0] + retries[1] + retries[2] + retries[3], 2010);
	EXPECT_GT(retries[0] + retries[1] + retries[2] + retries[3], 1900);
}

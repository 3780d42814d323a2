// Tests of the circuit breaker, alone and together with the load balancing of
// entry nodes.
#include <gtest/gtest.h>
#include <glib.h>
#include <queue>
#include <string>
#include <vector>

#include "baobabward/balance.h"
#include "baobabward/breaker.h"
#include "baobabward/clock.h"
#include "config_fixture.h"

namespace
{
const int64_t kMs = BB_US_PER_MS;
}

// Guards against many requests being sent as trials at once after each open
// time, and against a backend server that never gets a trial.
TEST(Breaker, OneTrialAtATime)
{
	struct bb_breaker b = {};

	EXPECT_TRUE(bb_breaker_admit(&b, false, false, 0));
	bb_breaker_failed(&b, 0, 0);
	EXPECT_EQ(400 * kMs, bb_breaker_open_us(&b, 0));
	EXPECT_FALSE(bb_breaker_admit(&b, true, false, 399 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, 400 * kMs));
	EXPECT_FALSE(bb_breaker_admit(&b, true, false, 401 * kMs));
	bb_breaker_failed(&b, 400 * kMs, 410 * kMs);
	EXPECT_EQ(800 * kMs, bb_breaker_open_us(&b, 410 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, 1210 * kMs));
	bb_breaker_succeeded(&b, 1210 * kMs);
	EXPECT_TRUE(bb_breaker_admit(&b, false, false, 1211 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, false, false, 1211 * kMs));
}

// Guards against bookings used as trials although a lookup, which can be
// repeated elsewhere, would soon arrive, and against waiting for a lookup
// without bound.
TEST(Breaker, IdempotentRequestsAreTrialsFirst)
{
	struct bb_breaker b = {};

	bb_breaker_failed(&b, 0, 0);
	EXPECT_TRUE(bb_breaker_admit(&b, false, false, 400 * kMs));
	bb_breaker_failed(&b, 400 * kMs, 400 * kMs);
	EXPECT_FALSE(bb_breaker_admit(&b, false, false, 1200 * kMs));
	EXPECT_FALSE(bb_breaker_admit(&b, false, false, 2699 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, false, false, 2700 * kMs));
}

// Guards against failures of requests that were in flight when the breaker
// opened extending the open time of a healthy backend server to seconds,
// against an unbounded open time, and against a trial that never ends.
TEST(Breaker, OpenTimeIsBounded)
{
	struct bb_breaker b = {};
	int64_t now = 1000 * kMs;

	for (int i = 0; i < 5; i++)
		bb_breaker_failed(&b, now - 500 * kMs, now);
	EXPECT_EQ(400 * kMs, bb_breaker_open_us(&b, now));
	for (int i = 0; i < 20; i++) {
		now += bb_breaker_open_us(&b, now) + 1600 * kMs;
		EXPECT_TRUE(bb_breaker_admit(&b, false, false, now));
		bb_breaker_failed(&b, now, now);
		EXPECT_LE(bb_breaker_open_us(&b, now), 2000 * kMs);
	}
	now += 3000 * kMs;
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, now));
	EXPECT_FALSE(bb_breaker_admit(&b, true, false, now + 1999 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, now + 2000 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, false, true, now));
}

// Guards against a hanging backend server that is detected only when the
// deadlines of its requests expire, and against a healthy one that is reported
// for a single long request.
TEST(Breaker, HangingServerIsDetectedBeforeDeadlines)
{
	const int64_t service = 400 * kMs;
	const int64_t hanging[] = { 1200 * kMs, 1300 * kMs, 100 * kMs };
	const int64_t tail[] = { 1300 * kMs, 300 * kMs, 100 * kMs };

	EXPECT_TRUE(bb_breaker_is_stalled(hanging, 3, service, 50 * kMs));
	EXPECT_FALSE(bb_breaker_is_stalled(tail, 3, service, 50 * kMs));
	EXPECT_TRUE(bb_breaker_is_stalled(tail, 3, service, 1300 * kMs));
	EXPECT_FALSE(bb_breaker_is_stalled(tail, 0, service, 9000 * kMs));
	EXPECT_FALSE(bb_breaker_is_stalled(hanging + 2, 1, kMs, 9000 * kMs));
}

// Guards against successes of requests that were sent before the first failure
// closing the breaker during a failure period.
TEST(Breaker, EarlierRequestsDoNotCloseIt)
{
	struct bb_breaker b = {};

	bb_breaker_failed(&b, 990 * kMs, 1000 * kMs);
	bb_breaker_succeeded(&b, 700 * kMs);
	EXPECT_FALSE(bb_breaker_admit(&b, true, false, 1001 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, 1400 * kMs));
	bb_breaker_succeeded(&b, 1400 * kMs);
	EXPECT_TRUE(bb_breaker_admit(&b, false, false, 1401 * kMs));
}

// Guards against bookings as trials while a lookup, which can be sent again,
// would soon arrive, against many entry nodes that send trials at the same
// moment, and against a server with bookings only that gets no request within
// 2 s after its failure period.
TEST(Breaker, ReportedBreakerTakesOneLookupAsTrial)
{
	struct bb_breaker b = {};

	b.reported = true;
	bb_breaker_failed(&b, 0, 0);
	EXPECT_FALSE(bb_breaker_takes_trials(&b, 399 * kMs));
	EXPECT_TRUE(bb_breaker_takes_trials(&b, 400 * kMs));
	EXPECT_EQ(0, bb_breaker_open_us(&b, 400 * kMs));
	EXPECT_FALSE(bb_breaker_admit(&b, false, false, 400 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, 401 * kMs));
	for (int i = 0; i < 95; i++)
		EXPECT_FALSE(bb_breaker_admit(&b, true, false, 401 * kMs));
	EXPECT_EQ(100 * kMs, bb_breaker_open_us(&b, 401 * kMs));
	EXPECT_EQ(1 * kMs, bb_breaker_open_us(&b, 2400 * kMs));
	for (int64_t now = 401 * kMs, i = 0; i < 10; i++) {
		int64_t failed = now;

		bb_breaker_failed(&b, now, now);
		while (!bb_breaker_admit(&b, false, false, now))
			now += kMs;
		EXPECT_LE(now - failed, 2000 * kMs);
	}
}

// Guards against a failure period in which each trial that succeeds by chance
// makes the next open time the shortest one again.
TEST(Breaker, ReportedBreakerGoesOnWithItsOpenTime)
{
	struct bb_breaker b = {};

	b.reported = true;
	bb_breaker_failed(&b, 0, 0);
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, 400 * kMs));
	bb_breaker_failed(&b, 400 * kMs, 400 * kMs);
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, 1200 * kMs));
	bb_breaker_succeeded(&b, 1200 * kMs);
	EXPECT_EQ(0, bb_breaker_open_us(&b, 1200 * kMs));
	bb_breaker_failed(&b, 1300 * kMs, 1300 * kMs);
	EXPECT_EQ(800 * kMs, bb_breaker_open_us(&b, 1300 * kMs));
	EXPECT_TRUE(bb_breaker_admit(&b, true, false, 2900 * kMs));
	bb_breaker_succeeded(&b, 2900 * kMs);
	// Another failure period.
	bb_breaker_failed(&b, 9000 * kMs, 9000 * kMs);
	EXPECT_EQ(400 * kMs, bb_breaker_open_us(&b, 9000 * kMs));
}

namespace
{

/*
 * Load pattern: 60 requests a second over 14 entry nodes and 14 backend servers
 * with a service time of 400 ms. Each backend server has failure periods of 2
 * to 8 s in which it fails 85% of its requests within 1 ms, so that it looks
 * idle.
 */
struct FailurePeriods {
	static const int kServers = 14;
	static const int kEntries = 14;
	Config config = parse(pool_document(kServers));
	GRand *random = g_rand_new_with_seed(7);
	std::vector<struct bb_balance *> entries;
	std::vector<int64_t> failure_ends = std::vector<int64_t>(kServers);
	std::vector<int64_t> failure_begins = std::vector<int64_t>(kServers);
	std::vector<int> running = std::vector<int>(kServers);
	std::vector<struct bb_breaker> breakers =
		std::vector<struct bb_breaker>(kServers);
	bool use_breakers;
	int requests = 0, errors = 0, refused = 0;

	explicit FailurePeriods(bool use) : use_breakers(use)
	{
		for (int i = 0; i < kEntries; i++) {
			struct bb_balance_options o = {};

			o.config = config.get();
			o.service = 0;
			o.zone_penalty = -1;
			o.seed = 100 + (uint64_t)i;
			entries.push_back(bb_balance_new(&o));
		}
	}
	~FailurePeriods()
	{
		for (auto *b : entries)
			bb_balance_delete(b);
		g_rand_free(random);
	}
	int64_t between_ms(int min, int max)
	{
		return g_rand_int_range(random, min, max) * kMs;
	}
	bool fails(int server, int64_t now)
	{
		if (now >= failure_ends[server]) {
			failure_begins[server] = now + between_ms(4000, 14000);
			failure_ends[server] =
				failure_begins[server] + between_ms(2000, 8000);
		}
		return now >= failure_begins[server] &&
		       g_rand_double(random) < 0.85;
	}
	struct bb_load load_of(int server, int64_t now)
	{
		struct bb_load load = {};

		load.in_flight = (uint32_t)running[server];
		load.slots = 5;
		if (use_breakers)
			load.avoid_for_us =
				bb_breaker_open_us(&breakers[server], now);
		return load;
	}
	// Chooses a backend server as an entry node does, with redirects.
	int place(struct bb_balance *b, bool lookup, int64_t now,
		  struct bb_path **path)
	{
		std::vector<uint32_t> tried;

		for (int n = 0; n < 8; n++) {
			struct bb_choice c = bb_balance_choose(
				b, tried.data(), tried.size(), now);
			bool last_resort = n >= 4 || c.backend == BB_NO_ROW;

			if (c.backend == BB_NO_ROW)
				c = bb_balance_choose_any(b, now);
			if (c.backend == BB_NO_ROW)
				return -1;
			if (!use_breakers ||
			    bb_breaker_admit(&breakers[c.backend], lookup,
					     last_resort, now)) {
				*path = c.path;
				return (int)c.backend;
			}
			struct bb_load load = load_of((int)c.backend, now);

			bb_path_release(c.path);
			bb_balance_report(b, c.path, &load, now);
			tried.push_back(c.backend);
		}
		return -1;
	}
	struct Running {
		int64_t end;
		int server;
		struct bb_balance *entry;
		struct bb_path *path;
		bool failed;
		int64_t began;
		bool operator<(const Running &o) const
		{
			return end > o.end;
		}
	};
	void run(int64_t length)
	{
		std::priority_queue<Running> ends;
		int64_t next = 0;

		for (int64_t now = 0; now < length; now += kMs) {
			while (!ends.empty() && ends.top().end <= now) {
				finish(ends.top(), now);
				ends.pop();
			}
			while (next <= now) {
				start(&ends, now);
				next += between_ms(1, 33);
			}
		}
		while (!ends.empty()) {
			finish(ends.top(), length);
			ends.pop();
		}
	}
	void start(std::priority_queue<Running> *ends, int64_t now)
	{
		struct bb_balance *b =
			entries[g_rand_int_range(random, 0, kEntries)];
		bool lookup = g_rand_double(random) < 0.3;
		struct bb_path *path = nullptr;
		int server = place(b, lookup, now, &path);
		bool failed;

		requests++;
		if (server < 0) {
			refused++;
			return;
		}
		failed = fails(server, now);
		running[server]++;
		ends->push({ now + (failed ? kMs : between_ms(200, 600)),
			     server, b, path, failed, now });
	}
	void finish(const Running &r, int64_t now)
	{
		struct bb_load load;

		running[r.server]--;
		errors += r.failed;
		if (r.failed)
			bb_breaker_failed(&breakers[r.server], r.began, now);
		else
			bb_breaker_succeeded(&breakers[r.server], r.began);
		load = load_of(r.server, now);
		bb_balance_report(r.entry, r.path, &load, now);
		bb_path_release(r.path);
	}
};

} // namespace

// Guards against failing backend servers that attract requests because they
// answer at once. Runs the load with load balancing alone, and with the
// breaker, which must avoid most of the errors and refuse no request.
TEST(Breaker, FailurePeriodsDoNotAttractRequests)
{
	FailurePeriods before(false), after(true);

	before.run(120 * BB_US_PER_S);
	after.run(120 * BB_US_PER_S);
	RecordProperty("errors_before", before.errors);
	RecordProperty("errors_after", after.errors);
	EXPECT_GT(before.errors * 100, before.requests * 20);
	EXPECT_LT(after.errors * 3, before.errors);
	EXPECT_EQ(0, after.refused);
}

// Guards against a backend server that gets no requests for seconds because the
// request that was to be the trial was refused by its queue or cancelled.
TEST(Breaker, DroppedTrialIsReplaced)
{
	for (bool reported : { false, true }) {
		struct bb_breaker b = {};
		int64_t now = 1000000;

		b.reported = reported;
		bb_breaker_failed(&b, now, now + 1);
		now += 10 * BB_US_PER_S;
		EXPECT_TRUE(bb_breaker_admit(&b, true, false, now));
		bb_breaker_trial_dropped(&b, now - 1);
		EXPECT_FALSE(bb_breaker_admit(&b, true, false, now + 1));
		bb_breaker_trial_dropped(&b, now);
		EXPECT_EQ(reported, bb_breaker_admit(&b, true, false, now + 2));
	}
}

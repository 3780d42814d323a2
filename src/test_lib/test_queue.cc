#include <glib.h>
#include <gtest/gtest.h>
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/queue.h"

namespace
{
enum request_state { OUT, WAITING, RUNNING };

struct request {
	struct bb_queue_entry e = {};
	request_state state = OUT;
	enum bb_reason refused = BB_REASON_NONE;
	int64_t ends_us = 0;
};

struct fixture {
	struct bb_queue_options o = {};
	struct bb_queue *q;
	std::deque<std::unique_ptr<request>> all;
	std::vector<request *> running;
	uint32_t waiting = 0;

	explicit fixture(const struct bb_queue_options &options) : o(options)
	{
		o.data = this;
		o.refuse = [](void *data, struct bb_queue_entry *e,
			      enum bb_reason reason) {
			auto f = (fixture *)data;
			auto r = (request *)e;

			EXPECT_EQ(WAITING, r->state);
			r->state = OUT;
			r->refused = reason;
			f->waiting--;
		};
		q = bb_queue_new(&o);
	}
	~fixture()
	{
		bb_queue_delete(q);
	}
	request *push(uint64_t account, int64_t not_after, int64_t now,
		      bool idempotent = true, bool needs_new_connection = false,
		      double weight = 1)
	{
		all.emplace_back(new request);
		request *r = all.back().get();

		r->e.account = account;
		r->e.weight = weight;
		r->e.not_after_us = not_after;
		r->e.idempotent = idempotent;
		r->e.needs_new_connection = needs_new_connection;
		r->refused = bb_queue_push(q, &r->e, now);
		if (!r->refused) {
			r->state = WAITING;
			waiting++;
		}
		return r;
	}
	request *pop(int64_t now, uint32_t idle = 9, int64_t *wake = nullptr)
	{
		int64_t w;
		auto r =
			(request *)bb_queue_pop(q, idle, now, wake ? wake : &w);

		if (!r)
			return nullptr;
		EXPECT_EQ(WAITING, r->state);
		EXPECT_GT(r->e.expires_us, now);
		r->state = RUNNING;
		waiting--;
		running.push_back(r);
		return r;
	}
	void finish(request *r, int64_t now)
	{
		running.erase(std::find(running.begin(), running.end(), r));
		r->state = OUT;
		bb_queue_finish(q, &r->e, true, now);
	}
};

const int64_t MS = BB_US_PER_MS;
const int64_t FAR_FUTURE = 1000 * BB_US_PER_S;
} // namespace

// Guards against an entry that is lost or refused twice, more running requests
// than slots, more connections than the limit, and starts after the latest
// start time. Compares random operations with plain counters.
TEST(Queue, RandomOperationsKeepCounts)
{
	for (guint32 seed = 1; seed <= 30; seed++) {
		struct bb_queue_options o = {};

		o.slots = 4;
		o.max_waiting = 20;
		o.account_max_waiting = 8;
		o.max_connections = 6;
		fixture f(o);
		GRand *g = g_rand_new_with_seed(seed);
		uint32_t idle = 0;
		int64_t now = 0, connected = -MS;

		for (int i = 0; i < 4000; i++) {
			now += g_rand_int_range(g, 0, 4 * MS);
			switch (g_rand_int_range(g, 0, 8)) {
			case 0:
			case 1:
			case 2:
				f.push(g_rand_int_range(g, 0, 6),
				       now + g_rand_int_range(g, -5, 300) * MS,
				       now, g_rand_boolean(g),
				       g_rand_boolean(g));
				break;
			case 3:
			case 4: {
				request *r = f.pop(now, idle);

				if (!r || !r->e.opens_connection) {
					idle -= !!r;
					break;
				}
				EXPECT_GE(now, connected + MS);
				connected = now;
				idle -= r->e.closes_idle;
				break;
			}
			case 5:
				if (f.running.empty())
					break;
				f.finish(f.running[g_rand_int_range(
						 g, 0, f.running.size())],
					 now);
				idle++;
				break;
			case 6:
				EXPECT_GT(bb_queue_expire(f.q, now), now);
				break;
			case 7:
				if (f.all.empty())
					break;
				request *r = f.all[g_rand_int_range(
							   g, 0, f.all.size())]
						     .get();

				if (bb_queue_cancel(f.q, &r->e)) {
					EXPECT_EQ(WAITING, r->state);
					r->state = OUT;
					f.waiting--;
				} else {
					EXPECT_NE(WAITING, r->state);
				}
				break;
			}
			struct bb_load l = bb_queue_load(f.q, 0);

			ASSERT_EQ(f.running.size(), l.in_flight);
			ASSERT_EQ(f.waiting, l.queued);
			ASSERT_LE(l.in_flight, 4u);
			ASSERT_LE(l.queued, 20u);
			ASSERT_LE(idle + l.in_flight, 6u);
		}
		uint32_t left = f.waiting;

		EXPECT_EQ(left, bb_queue_drain(f.q, BB_REASON_STOPPING));
		EXPECT_EQ(0u, f.waiting);
		g_rand_free(g);
	}
}

// Guards against a booking that waits as long as a lookup without its caller
// knowing, and against entries that stay in the queue until their deadline
// although they can no longer start in time.
TEST(Queue, BookingWaitLimitAndEarlyRefusal)
{
	struct bb_queue_options o = {};

	o.slots = 1;
	o.booking_wait_us = 50 * MS;
	o.initial_service_us = 20 * MS;
	fixture f(o);

	f.push(1, FAR_FUTURE, 0);
	ASSERT_TRUE(f.pop(0));
	request *booking = f.push(1, FAR_FUTURE, 0, false);
	request *lookup = f.push(1, FAR_FUTURE, 0);
	request *third = f.push(1, 30 * MS, 0);

	EXPECT_EQ(WAITING, booking->state);
	EXPECT_EQ(BB_REASON_DEADLINE, third->refused);
	bb_queue_expire(f.q, 49 * MS);
	EXPECT_EQ(WAITING, booking->state);
	bb_queue_expire(f.q, 50 * MS);
	EXPECT_EQ(BB_REASON_QUEUE_FULL, booking->refused);
	EXPECT_EQ(WAITING, lookup->state);
	EXPECT_EQ(BB_REASON_DEADLINE, f.push(2, 50 * MS, 50 * MS)->refused);
}

// Guards against a request that is refused although a slot is free, because its
// caller leaves less time than its target latency allows for a wait.
TEST(Queue, FreeSlotIsTakenWhateverTheTimeLeft)
{
	struct bb_queue_options o = {};

	o.slots = 2;
	o.connect_interval_us = 5 * MS;
	fixture f(o);
	auto push = [&](int64_t now) {
		f.all.emplace_back(new request);
		request *r = f.all.back().get();

		r->e.account = 1;
		r->e.not_after_us = now + 2000 * MS;
		r->e.max_wait_us = 1;
		r->e.needs_new_connection = true;
		r->refused = bb_queue_push(f.q, &r->e, now);
		f.waiting += !r->refused;
		r->state = r->refused ? OUT : WAITING;
		return r;
	};
	request *first = push(100 * MS), *second = push(100 * MS);

	// The second one waits for its connection.
	EXPECT_EQ(first, f.pop(101 * MS, 0));
	EXPECT_EQ(nullptr, f.pop(102 * MS, 0));
	bb_queue_expire(f.q, 104 * MS);
	EXPECT_EQ(second, f.pop(107 * MS, 0));
	// Without a slot the limit holds.
	request *third = push(108 * MS);
	bb_queue_expire(f.q, 120 * MS);
	EXPECT_EQ(BB_REASON_QUEUE_FULL, third->refused);
	f.finish(first, 121 * MS);
	EXPECT_EQ(BB_REASON_NONE, push(121 * MS)->refused);
	EXPECT_NE(nullptr, f.pop(122 * MS, 0));
}

// Guards against a queue that grows as long as the deadlines allow, so that
// entries are refused only after a long wait. Overload: a backend server with 5
// slots and 400 ms per request gets requests of 8 client accounts at twice the
// rate that it can serve; the longest useful wait is 790 ms, the deadline 2 s.
TEST(Queue, OverloadRefusesEarly)
{
	struct bb_queue_options o = {};
	int64_t refused_late = 0, refused = 0, started = 0;
	GRand *g = g_rand_new_with_seed(5);
	std::vector<request *> waiting;

	o.slots = 5;
	o.initial_service_us = 400 * MS;
	fixture f(o);

	for (int64_t now = 0; now < 60 * BB_US_PER_S; now += 4 * MS) {
		for (size_t i = f.running.size(); i-- > 0;)
			if (f.running[i]->ends_us <= now)
				f.finish(f.running[i], now);
		if (g_rand_double(g) < 0.1) {
			f.all.emplace_back(new request);
			request *r = f.all.back().get();

			r->e.account = g_rand_int_range(g, 0, 8);
			r->e.weight = 1;
			r->e.not_after_us = now + 2000 * MS;
			r->e.max_wait_us = 790 * MS;
			r->refused = bb_queue_push(f.q, &r->e, now);
			if (!r->refused) {
				r->state = WAITING;
				f.waiting++;
				waiting.push_back(r);
			} else {
				refused++;
			}
		}
		bb_queue_expire(f.q, now);
		while (request *r = f.pop(now)) {
			r->ends_us = now + g_rand_int_range(g, 200, 600) * MS;
			started++;
		}
		for (size_t i = waiting.size(); i-- > 0;) {
			request *r = waiting[i];

			if (r->state == WAITING)
				continue;
			if (r->refused) {
				refused++;
				refused_late += now - r->e.pushed_us > 400 * MS;
			}
			waiting.erase(waiting.begin() + (long)i);
		}
	}
	g_rand_free(g);
	RecordProperty("started", (int)started);
	RecordProperty("refused", (int)refused);
	RecordProperty("refused_late", (int)refused_late);
	/* The backend server can run 12.5 requests per second for 60 s. */
	EXPECT_GE(started, 750 * 9 / 10);
	EXPECT_LE(refused_late * 5, refused);
}

// Guards against connections that are opened faster than one per millisecond or
// above the limit, and against a missing wake-up time when pacing delays a
// start.
TEST(Queue, PacesConnections)
{
	struct bb_queue_options o = {};
	int64_t wake;

	o.slots = 5;
	o.max_connections = 2;
	fixture f(o);
	for (int i = 0; i < 4; i++)
		f.push(i, FAR_FUTURE, 0, true, true);
	EXPECT_TRUE(f.pop(0, 0)->e.opens_connection);
	EXPECT_FALSE(f.pop(MS - 1, 0, &wake));
	EXPECT_EQ(MS, wake);
	EXPECT_FALSE(f.pop(MS, 0, &wake)->e.closes_idle);
	EXPECT_FALSE(f.pop(2 * MS, 0, &wake));
	EXPECT_EQ(INT64_MAX, wake);
	EXPECT_TRUE(f.pop(2 * MS, 1, &wake)->e.closes_idle);
	bb_queue_connection_closed(f.q);
	EXPECT_FALSE(f.pop(4 * MS, 0)->e.closes_idle);
}

// Guards against an account with slow requests that occupies all slots while
// other accounts are active, and against a slot that stays free when no other
// account is active.
TEST(Queue, SlowAccountLeavesOneSlot)
{
	struct bb_queue_options o = {};

	o.slots = 4;
	fixture f(o);
	for (int i = 0; i < 4; i++)
		f.push(1, FAR_FUTURE, 0);
	for (int i = 0; i < 4; i++)
		ASSERT_TRUE(f.pop(0));
	int64_t now = 500 * MS;

	while (!f.running.empty())
		f.finish(f.running[0], now);
	f.push(2, FAR_FUTURE, now);
	f.finish(f.pop(now), now + 10 * MS);
	now += 10 * MS;
	for (int i = 0; i < 8; i++)
		f.push(1, FAR_FUTURE, now);
	int n = 0;
	while (f.pop(now))
		n++;
	EXPECT_EQ(3, n);
	f.push(2, FAR_FUTURE, now);
	EXPECT_EQ(2u, f.pop(now)->e.account);
	/* Account 2 is removed after it was idle for active_period_us. */
	while (!f.running.empty())
		f.finish(f.running[0], now + MS);
	now += 25 * BB_US_PER_S;
	f.push(1, FAR_FUTURE, now);
	for (n = 0; f.pop(now); n++)
		;
	EXPECT_EQ(4, n);
}

// Guards against a full queue that refuses requests of an account below its
// fair share because another account has filled the queue.
TEST(Queue, FullQueueMakesRoomForAccountBelowFairShare)
{
	struct bb_queue_options o = {};

	o.slots = 1;
	o.max_waiting = 10;
	o.account_max_waiting = 10;
	fixture f(o);
	for (int i = 0; i < 10; i++)
		f.push(1, FAR_FUTURE, 0);
	EXPECT_EQ(BB_REASON_QUEUE_FULL, f.push(1, FAR_FUTURE, 0)->refused);
	EXPECT_EQ(BB_REASON_NONE, f.push(2, FAR_FUTURE, 0)->refused);
	EXPECT_EQ(BB_REASON_QUEUE_FULL, f.all[9]->refused);
	EXPECT_EQ(10u, bb_queue_load(f.q, 0).queued);
	/* An entry that is already waiting is not added a second time. */
	EXPECT_EQ(BB_REASON_INTERNAL, bb_queue_push(f.q, &f.all[0]->e, 0));
	EXPECT_EQ(10u, bb_queue_load(f.q, 0).queued);
}

// Guards against shares that are computed from the number of requests instead
// of the service time, and against ignored weights. Two accounts always have
// waiting requests; those of one account are slow.
TEST(Queue, SharesFollowWeightAndServiceTime)
{
	for (double weight : { 1.0, 3.0 }) {
		struct bb_queue_options o = {};
		std::map<uint64_t, int64_t> used;

		o.slots = 4;
		o.account_max_waiting = 8;
		fixture f(o);
		for (int64_t now = 0; now < 60 * BB_US_PER_S; now += MS) {
			std::vector<request *> done;

			for (auto r : f.running)
				if (now >= r->ends_us)
					done.push_back(r);
			for (auto r : done)
				f.finish(r, now);
			for (uint64_t a = 1; a < 3; a++) {
				f.all.emplace_back(new request);
				request *r = f.all.back().get();

				r->e.account = a;
				r->e.weight = a == 1 ? weight : 1;
				r->e.not_after_us = FAR_FUTURE;
				r->e.idempotent = true;
				if (!bb_queue_push(f.q, &r->e, now)) {
					r->state = WAITING;
					f.waiting++;
				}
			}
			while (request *r = f.pop(now)) {
				int64_t t = r->e.account == 1 ? 5 * MS :
								50 * MS;

				r->ends_us = now + t;
				used[r->e.account] += t;
			}
		}
		EXPECT_NEAR(weight, (double)used[1] / (double)used[2],
			    0.05 * weight);
	}
}

// Guards against a slot that stays free while requests wait, for example
// because rounding errors leave a deficit just below the charge after the added
// rounds.
TEST(Queue, NoIdleSlotWhileRequestsWait)
{
	for (guint32 seed = 1; seed <= 10; seed++) {
		struct bb_queue_options o = {};

		o.slots = 4;
		fixture f(o);
		GRand *g = g_rand_new_with_seed(seed);
		int64_t now = 0;

		for (int i = 0; i < 5000; i++) {
			now += g_rand_int_range(g, 1, 3 * MS);
			if (f.waiting < 30)
				f.push(i % 8, FAR_FUTURE, now, true, false,
				       0.1 + i % 8);
			while (bb_queue_load(f.q, 0).in_flight < 4 && f.waiting)
				ASSERT_TRUE(f.pop(now)) << seed << " " << i;
			if (f.running.size() == 4)
				f.finish(f.running[g_rand_int_range(g, 0, 4)],
					 now);
		}
		g_rand_free(g);
	}
}

// Guards against requests that wait although the limit on the rate lets them
// start only after their deadline, against starts beyond the limit, and against
// a limit that stays after it was withdrawn.
TEST(Queue, RateLimitsStartsAndRefusesAtOnce)
{
	struct bb_queue_options o = {};
	int64_t now = BB_US_PER_S, wake;

	o.slots = 4;
	fixture f(o);
	bb_queue_set_rate(f.q, 2, now);
	EXPECT_FALSE(bb_queue_has_free_slot(f.q, now));
	// At two a second, these start after 0.5 s, 1 s and 1.5 s.
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(BB_REASON_NONE,
			  f.push(1, now + 1600 * MS, now)->refused);
	EXPECT_EQ(BB_REASON_DEADLINE, f.push(1, now + 1600 * MS, now)->refused);
	EXPECT_EQ(nullptr, f.pop(now, 9, &wake));
	EXPECT_EQ(now + 500 * MS, wake);
	now = wake;
	EXPECT_NE(nullptr, f.pop(now));
	EXPECT_EQ(nullptr, f.pop(now + 499 * MS));
	bb_queue_set_rate(f.q, -1, now);
	EXPECT_NE(nullptr, f.pop(now));
	EXPECT_NE(nullptr, f.pop(now));
	EXPECT_TRUE(bb_queue_has_free_slot(f.q, now));
}

// Guards against a backend server that looks idle to entry nodes because its
// limit keeps its slots free.
TEST(Queue, LoadCountsTheSlotsThatTheRateUses)
{
	struct bb_queue_options o = {};
	int64_t now = BB_US_PER_S;

	o.slots = 5;
	o.initial_service_us = 400 * MS;
	fixture f(o);
	EXPECT_EQ(5u, bb_queue_load(f.q, now).slots);
	bb_queue_set_rate(f.q, 5, now);
	EXPECT_EQ(2u, bb_queue_load(f.q, now).slots);
	EXPECT_EQ(2u, bb_queue_load(f.q, now).in_flight);
	EXPECT_EQ(0u, bb_queue_running(f.q));
	EXPECT_EQ(0u, bb_queue_waiting(f.q));
	now += 200 * MS;
	EXPECT_EQ(0u, bb_queue_load(f.q, now).in_flight);
	bb_queue_set_rate(f.q, 1000, now);
	EXPECT_EQ(5u, bb_queue_load(f.q, now).slots);
}

// Order of ranks in the queue of a backend server, replayed without a network.
#include <glib.h>
#include <gtest/gtest.h>
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/queue.h"
#include "baobabward/retry_after.h"

namespace
{
const int64_t MS = BB_US_PER_MS;
const int64_t SECOND = BB_US_PER_S;

enum request_state { OUT, WAITING, RUNNING };

// A request of a replay. @returns is the number of times that it came back.
struct request {
	struct bb_queue_entry e = {};
	request_state state = OUT;
	enum bb_reason refused = BB_REASON_NONE;
	int64_t arrived_us = 0;
	int64_t target_us = 0;
	int64_t deadline_us = 0;
	int64_t ends_us = 0;
	size_t kind = 0;
	int returns = 0;
};

// Requests of one kind: their rank, account and load.
struct kind {
	uint32_t rank;
	uint64_t account;
	double per_s;
	int64_t target_us = 2500 * MS;
	int64_t deadline_us = 15 * SECOND;
	int64_t from_us = 0;
	int64_t until_us = INT64_MAX;
};

struct result {
	int asked = 0;
	int served = 0;
	int in_time = 0;
	int refused_late = 0;
	double served_share() const
	{
		return asked ? (double)served / asked : 0;
	}
	double in_time_share() const
	{
		return asked ? (double)in_time / asked : 0;
	}
};

// Replays loads on one backend server with 5 slots and 400 ms for each request,
// which can run 12.5 requests per second.
struct replay {
	struct bb_queue_options o = {};
	struct bb_queue *q;
	std::vector<kind> kinds;
	std::vector<result> results;
	std::deque<std::unique_ptr<request>> all;
	std::vector<request *> running;
	std::vector<std::pair<int64_t, request *>> returning;
	// Arrivals have random numbers of their own, so that they are the same
	// whatever becomes of the requests.
	GRand *rnd, *arrivals;
	int64_t now = 0;
	int64_t idle_us = 0;
	// Wait of a caller before it comes back, 0 if it does not; -1 for the
	// time that is promised to it.
	int64_t return_us = 0;
	struct bb_returns returns[BB_QUEUE_RANKS] = {};
	int refusals = 0;

	explicit replay(const std::vector<kind> &k, guint32 seed = 1,
			bool ranked = true)
	    : kinds(k), results(k.size()), rnd(g_rand_new_with_seed(seed)),
	      arrivals(g_rand_new_with_seed(seed + 1000))
	{
		o.slots = 5;
		o.initial_service_us = 400 * MS;
		o.data = this;
		o.refuse = [](void *data, struct bb_queue_entry *e,
			      enum bb_reason reason) {
			auto *f = static_cast<replay *>(data);
			auto *r = reinterpret_cast<request *>(e);

			r->state = OUT;
			r->refused = reason;
			f->results[r->kind].refused_late +=
				f->now - e->pushed_us > SECOND;
			f->refused(r);
		};
		q = bb_queue_new(&o);
		bb_queue_set_ranked(q, ranked);
	}
	replay(const replay &) = delete;
	replay &operator=(const replay &) = delete;
	~replay()
	{
		bb_queue_delete(q);
		g_rand_free(rnd);
		g_rand_free(arrivals);
	}

	void refused(request *r)
	{
		int64_t left = r->deadline_us - now, after = return_us;

		refusals++;
		if (return_us < 0) {
			struct bb_load load = bb_queue_load(q, now);
			struct bb_returns *own =
				&returns[kinds[r->kind].rank % BB_QUEUE_RANKS];
			struct bb_refusal x = { bb_returns_wait_us(own, &load),
						left, g_rand_double(rnd) };

			after = bb_returns_promise(own, &x, now);
		}
		// Callers follow it up to a third of the time that they have.
		if (after)
			returning.emplace_back(now + std::min(after, left / 3),
					       r);
	}

	request *push(size_t nr)
	{
		const kind &k = kinds[nr];

		all.emplace_back(new request);
		request *r = all.back().get();
		r->kind = nr;
		r->arrived_us = now;
		r->target_us = now + k.target_us;
		r->deadline_us = now + k.deadline_us;
		results[nr].asked++;
		push_again(r);
		return r;
	}

	void push_again(request *r)
	{
		const kind &k = kinds[r->kind];
		int64_t service = bb_queue_mean_service_us(q);

		r->e = {};
		r->e.account = k.account;
		r->e.weight = 1;
		r->e.rank = k.rank;
		r->e.idempotent = true;
		r->e.returned = r->returns > 0;
		r->e.not_after_us = r->deadline_us;
		r->e.max_wait_us =
			std::max<int64_t>(1, r->deadline_us - now - service);
		if (k.rank)
			r->e.useful_wait_us = std::max<int64_t>(
				1, r->target_us - now - service);
		r->refused = bb_queue_push(q, &r->e, now);
		r->state = r->refused ? OUT : WAITING;
		if (r->refused)
			refused(r);
	}

	request *pop()
	{
		int64_t wake;
		auto *r = reinterpret_cast<request *>(
			bb_queue_pop(q, 9, now, &wake));

		if (!r)
			return nullptr;
		EXPECT_EQ(WAITING, r->state);
		r->state = RUNNING;
		r->ends_us = now + g_rand_int_range(rnd, 200, 600) * MS;
		running.push_back(r);
		return r;
	}

	void finish(request *r)
	{
		result &x = results[r->kind];

		running.erase(std::find(running.begin(), running.end(), r));
		r->state = OUT;
		bb_queue_finish(q, &r->e, true, now);
		bb_returns_served(
			&returns[kinds[r->kind].rank % BB_QUEUE_RANKS],
			now - r->e.started_us, now);
		x.served += now <= r->deadline_us;
		x.in_time += now <= r->target_us;
	}

	void step()
	{
		now += 4 * MS;
		for (size_t i = running.size(); i-- > 0;)
			if (running[i]->ends_us <= now)
				finish(running[i]);
		for (size_t i = returning.size(); i-- > 0;)
			if (returning[i].first <= now) {
				request *r = returning[i].second;

				returning.erase(returning.begin() + (long)i);
				r->returns++;
				if (now < r->deadline_us)
					push_again(r);
			}
		for (size_t i = 0; i < kinds.size(); i++)
			if (now >= kinds[i].from_us &&
			    now < kinds[i].until_us &&
			    g_rand_double(arrivals) < kinds[i].per_s * 4 / 1000)
				push(i);
		bb_queue_expire(q, now);
		while (pop())
			;
		idle_us += (5 - (int64_t)running.size()) * 4 * MS;
	}

	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end;)
			step();
	}

	void print(const char *name) const
	{
		for (size_t i = 0; i < kinds.size(); i++)
			printf("%s: rank %u account %u: %d asked, %.3f served, "
			       "%.3f in time, %d refused after 1 s\n",
			       name, kinds[i].rank, (unsigned)kinds[i].account,
			       results[i].asked, results[i].served_share(),
			       results[i].in_time_share(),
			       results[i].refused_late);
	}

	// Ends the load and lets all requests end.
	void end()
	{
		for (kind &k : kinds)
			k.until_us = now;
		run(25 * SECOND);
	}

	// Checks that no rank is served less often than a lower one by over 5
	// in 100, and the bound on the share of the least served kind.
	void check_ranks() const
	{
		std::map<uint32_t, result> by_rank;
		result sum;

		for (size_t i = 0; i < kinds.size(); i++) {
			result &r = by_rank[kinds[i].rank];

			r.asked += results[i].asked;
			r.served += results[i].served;
			if (!kinds[i].rank)
				continue;
			sum.asked += results[i].asked;
			sum.served += results[i].served;
		}
		for (auto &high : by_rank)
			for (auto &low : by_rank)
				if (high.first < low.first)
					EXPECT_GE(high.second.served_share(),
						  low.second.served_share() -
							  0.05)
						<< high.first << " before "
						<< low.first;
		for (auto &r : by_rank)
			EXPECT_GE(r.second.served_share(),
				  sum.served_share() / 4)
				<< "rank " << r.first;
	}
};
} // namespace

// Guards against a request of a high rank that waits behind less urgent ones,
// and against a call that waits behind new work.
TEST(QueueRank, HigherRanksStartFirst)
{
	replay f({ { 3, 1, 0 }, { 1, 2, 0 }, { 0, 0, 0 }, { 2, 3, 0 } });

	for (int i = 0; i < 5; i++)
		f.push(0);
	for (int i = 0; i < 5; i++)
		ASSERT_TRUE(f.pop());
	request *low = f.push(0), *high = f.push(1), *call = f.push(2),
		*middle = f.push(3);
	f.now += 400 * MS;
	for (request *expected : { call, high, middle, low }) {
		f.finish(f.running.front());
		EXPECT_EQ(expected, f.pop());
	}
}

// Guards against a full queue that refuses an urgent request while less urgent
// ones wait, and against one that gives up a running request.
TEST(QueueRank, FullQueueRefusesTheLowestRank)
{
	replay f({ { 3, 1, 0 }, { 2, 2, 0 }, { 1, 3, 0 } });

	f.o.max_waiting = 4;
	bb_queue_delete(f.q);
	f.q = bb_queue_new(&f.o);
	bb_queue_set_ranked(f.q, true);
	for (int i = 0; i < 5; i++) {
		f.push(0);
		f.pop();
	}
	std::vector<request *> low = { f.push(0), f.push(0) };
	request *middle = f.push(1), *second = f.push(1), *high = f.push(2);
	EXPECT_EQ(WAITING, low[0]->state);
	EXPECT_EQ(BB_REASON_QUEUE_FULL, low[1]->refused);
	EXPECT_EQ(WAITING, middle->state);
	EXPECT_EQ(WAITING, second->state);
	EXPECT_EQ(WAITING, high->state);
	f.push(2);
	f.push(2);
	EXPECT_EQ(BB_REASON_QUEUE_FULL, f.push(0)->refused);
	EXPECT_EQ(OUT, second->state);
	EXPECT_EQ(5u, f.running.size());
}

// Guards against ranks that apply without the policy.
TEST(QueueRank, WithoutThePolicyTheOrderIsTheOld)
{
	replay f({ { 3, 1, 0 }, { 1, 1, 0 } }, 1, false);

	for (int i = 0; i < 5; i++) {
		f.push(0);
		f.pop();
	}
	request *low = f.push(0);
	request *high = f.push(1);
	f.now += 400 * MS;
	f.finish(f.running.front());
	EXPECT_EQ(low, f.pop());
	f.finish(f.running.front());
	EXPECT_EQ(high, f.pop());
}

// Guards against an account at several times its rate that takes the capacity of
// steady ones of the same rank.
TEST(QueueRank, AccountAtSeveralTimesItsRate)
{
	replay f({ { 2, 1, 20 }, { 2, 2, 2 }, { 2, 3, 2 }, { 2, 4, 2 } });

	f.run(60 * SECOND);
	EXPECT_LE(f.idle_us, 60 * SECOND * 5 / 20);
	f.end();
	f.print("one account above its rate");
	for (size_t i = 1; i < 4; i++) {
		EXPECT_GE(f.results[i].served_share(), 0.95) << i;
		EXPECT_GE(f.results[i].in_time_share(), 0.93) << i;
	}
}

// Guards against a burst of the least urgent kind that delays the others, and
// against a least urgent kind that gets nothing.
TEST(QueueRank, BurstOfTheLeastUrgentKind)
{
	replay f({ { 1, 1, 4 },
		   { 2, 2, 4 },
		   { 4, 3, 40, 8 * SECOND, 25 * SECOND, 20 * SECOND,
		     40 * SECOND } });

	f.return_us = -1;
	f.run(80 * SECOND);
	f.end();
	f.print("burst of the least urgent kind");
	f.check_ranks();
	EXPECT_GE(f.results[0].in_time_share(), 0.97);
	EXPECT_GE(f.results[1].in_time_share(), 0.93);
	EXPECT_LE(f.results[2].refused_late, f.results[2].asked / 20);
}

// Guards against both of the above at once; the lowest rank is still served at
// least a quarter as often as all requests on average.
TEST(QueueRank, HighRanksAtTwiceTheCapacity)
{
	for (guint32 seed = 1; seed <= 5; seed++) {
		replay f(
			{ { 1, 1, 16 }, { 1, 2, 3 }, { 2, 3, 6 }, { 3, 4, 8 } },
			seed);

		f.run(120 * SECOND);
		EXPECT_LE(f.idle_us, 120 * SECOND * 5 / 20);
		f.end();
		f.print("high ranks at twice the capacity");
		f.check_ranks();
	}
}

// Guards against both at once, with calls: an account at several times its rate
// beside steady ones of its rank, and a burst of the least urgent kind.
TEST(QueueRank, GreedyAccountAndBurst)
{
	replay f({ { 0, 0, 1, 3 * SECOND, 3 * SECOND },
		   { 2, 1, 12 },
		   { 2, 2, 2 },
		   { 2, 3, 2 },
		   { 5, 4, 30, 8 * SECOND, 25 * SECOND, 20 * SECOND,
		     40 * SECOND } });

	f.return_us = -1;
	f.run(60 * SECOND);
	EXPECT_LE(f.idle_us, 60 * SECOND * 5 / 20);
	f.end();
	f.print("greedy account and burst");
	f.check_ranks();
	EXPECT_GE(f.results[0].served_share(), 0.98);
	for (size_t i = 2; i < 4; i++)
		EXPECT_GE(f.results[i].served_share(), 0.95) << i;
}

// Guards against calls that are refused while new work is served.
TEST(QueueRank, CallsGoBeforeNewWork)
{
	replay f({ { 0, 0, 6, 3 * SECOND, 3 * SECOND }, { 1, 1, 20 } });

	f.run(60 * SECOND);
	EXPECT_LE(f.idle_us, 60 * SECOND * 5 / 20);
	f.end();
	f.print("calls beside an overload");
	EXPECT_GE(f.results[0].served_share(), 0.99);
}

// Guards against requests that are refused although they could be answered late
// without keeping others from being in time: a short burst, then nothing.
TEST(QueueRank, LateAnswersUseIdleCapacity)
{
	replay f({ { 1, 1, 0 },
		   { 1, 3, 0 },
		   { 1, 2, 4, 2500 * MS, 15 * SECOND, SECOND } });

	for (int i = 0; i < 60; i++)
		f.push(i % 2);
	f.run(20 * SECOND);
	f.print("burst, then a steady load");
	EXPECT_GE(f.results[0].served + f.results[1].served, 54);
	EXPECT_GE(f.results[2].in_time_share(), 0.92);
}

// Guards against urgent requests with a short target latency, which the slots that
// long requests hold make late, and which then wait behind less urgent ones that
// have time.
TEST(QueueRank, ShortTargetBesideLongWaits)
{
	replay f({ { 1, 1, 4, 600 * MS, 2 * SECOND },
		   { 2, 2, 4, 1000 * MS, 4 * SECOND },
		   { 3, 3, 30, 8 * SECOND, 25 * SECOND } });

	f.run(60 * SECOND);
	f.end();
	f.print("short targets beside long waits");
	f.check_ranks();
	EXPECT_GE(f.results[0].served_share(), 0.95);
	EXPECT_GE(f.results[1].served_share(), 0.80);
}

// Guards against callers that return too early and then keep others from being
// served: after 0.2 s, after 1 s each, and when it is promised to them.
TEST(QueueRank, CallersThatReturn)
{
	int refusals[3], n = 0;

	for (int64_t after : { 200 * MS, SECOND, (int64_t)-1 }) {
		replay f({ { 1, 1, 6 }, { 2, 2, 4 }, { 3, 3, 20 } }, 3);

		f.return_us = after;
		f.run(60 * SECOND);
		EXPECT_LE(f.idle_us, 60 * SECOND * 5 / 20);
		f.end();
		f.print(after < 0	? "callers return as promised" :
			after == SECOND ? "callers return after 1 s" :
					  "callers return after 0.2 s");
		printf("%d refusals\n", f.refusals);
		f.check_ranks();
		EXPECT_GE(f.results[0].in_time_share(), 0.95);
		EXPECT_GE(f.results[1].served_share(), 0.75);
		refusals[n++] = f.refusals;
	}
	EXPECT_LE(refusals[2] * 2, refusals[0]);
	EXPECT_LE(refusals[2], refusals[1]);
}

// Guards against an entry that is lost, refused twice or started too late, and
// against more running requests than slots, while entries move between the
// classes, ranks are switched on and off, and the queue is full.
TEST(QueueRank, RandomOperationsKeepCounts)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		replay f({ { 0, 1, 0, 900 * MS, 900 * MS },
			   { 1, 1, 0, 300 * MS, SECOND },
			   { 3, 2, 0, 2 * SECOND, 4 * SECOND },
			   { 12, 3, 0, 600 * MS, 3 * SECOND } },
			 seed);
		uint32_t waiting;

		f.o.slots = 4;
		f.o.max_waiting = 20;
		f.o.account_max_waiting = 8;
		f.o.initial_service_us = 50 * MS;
		f.o.active_period_us = 200 * MS;
		bb_queue_delete(f.q);
		f.q = bb_queue_new(&f.o);
		for (int i = 0; i < 5000; i++) {
			f.now += g_rand_int_range(f.rnd, 0, 15 * MS);
			switch (g_rand_int_range(f.rnd, 0, 8)) {
			case 0:
			case 1:
			case 2:
			case 3:
				f.push((size_t)g_rand_int_range(f.rnd, 0, 4));
				break;
			case 4:
				f.pop();
				break;
			case 5:
				if (!f.running.empty())
					f.finish(f.running[0]);
				break;
			case 6:
				EXPECT_GT(bb_queue_expire(f.q, f.now), f.now);
				break;
			case 7: {
				if (f.all.empty())
					break;
				request *r =
					f.all[(size_t)g_rand_int_range(
						      f.rnd, 0,
						      (int)f.all.size() + 1) %
					      f.all.size()]
						.get();

				if (i % 5 == 0)
					bb_queue_set_ranked(
						f.q, g_rand_boolean(f.rnd));
				if (bb_queue_cancel(f.q, &r->e)) {
					EXPECT_EQ(WAITING, r->state);
					r->state = OUT;
				}
				break;
			}
			}
			waiting = 0;
			for (size_t k = f.all.size() > 1000 ?
						f.all.size() - 1000 :
						0;
			     k < f.all.size(); k++)
				waiting += f.all[k]->state == WAITING;
			ASSERT_GE(20u, bb_queue_waiting(f.q));
			ASSERT_EQ(waiting, bb_queue_waiting(f.q));
			ASSERT_EQ(f.running.size(), bb_queue_running(f.q));
			ASSERT_GE(4u, bb_queue_running(f.q));
		}
		waiting = bb_queue_waiting(f.q);
		EXPECT_EQ(waiting, bb_queue_drain(f.q, BB_REASON_STOPPING));
	}
}

// Placement by expected cost and bytes, replayed without a network: 95 nodes
// whose reports are late (each hears of a server only in its own results, about
// 0.1 a second), pools of 36 and of 11 backend servers in 3 zones, requests with
// heavy tails, slow servers, and downloads with responses of 90 KB. Each pattern
// runs with the choice by load and with the placement, and both are printed.
#include <gtest/gtest.h>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "baobabward/attempt.h"
#include "baobabward/balance.h"
#include "baobabward/clock.h"
#include "baobabward/cost.h"

namespace
{
constexpr int64_t MS = BB_US_PER_MS;
constexpr int64_t S = BB_US_PER_S;
constexpr size_t NODES = 95;
constexpr size_t ZONES = 3;
// One way between two nodes.
constexpr int64_t HOP_US = 1 * MS;
constexpr int64_t WARM_UP_US = 15 * S;
constexpr int64_t END_US = 50 * S;

// A kind of requests; its cost depends on the account, too.
struct Kind {
	std::string route;
	double share;
	double mean_ms;
	double spread;
	size_t request_bytes;
	size_t response_bytes;
	int64_t target_ms;
	int64_t deadline_ms;
	bool idempotent;
};

const std::vector<Kind> KINDS = {
	{ "lookup", 0.40, 120, 0.5, 200, 800, 600, 3000, true },
	{ "book", 0.25, 350, 0.5, 1000, 600, 1500, 6000, false },
	{ "search", 0.20, 600, 0.8, 300, 3000, 2500, 10000, true },
	{ "download", 0.15, 250, 0.6, 200, 90000, 2000, 8000, true },
};

// What differs between the runs of one pattern.
struct Pattern {
	size_t servers;
	double load;
	// Share of the servers that run at half of the speed of the others.
	double slow = 0;
	// Share of the callers in the first zone.
	double first_zone = 1.0 / ZONES;
	// Lookups cost four times as much from the middle on, and the rate is
	// reduced in proportion.
	bool change = false;
	// Costs, work and speeds that nodes send and learn are random.
	bool wrong = false;
	// Time between reports of each server to all nodes, 0 for none.
	int64_t push_us = 0;
};

struct Result {
	double cross_mb = 0;
	double p50_ms = 0;
	double p99_ms = 0;
	double late = 0;
	double searches = 0;
	size_t requests = 0;
	// Smallest share of the servers that ran requests in any 2 s.
	double used = 1;
};

struct Request {
	size_t node;
	const Kind *kind;
	std::string account;
	double cost_us;
	int64_t arrived_us;
	struct bb_attempt_history history;
	struct bb_choice choice;
	struct bb_placement placement;
	int64_t sent_cost_us;
	int64_t started_us;
};

struct Server {
	uint32_t slots;
	double speed;
	std::vector<Request *> running;
	std::deque<Request *> waiting;
	struct bb_server_cost cost;
};

struct Sim {
	Pattern p;
	bool by_cost;
	std::mt19937_64 g{ 17 };
	// Of its own, so that the arrivals are the same in all runs.
	std::mt19937_64 errors{ 23 };
	std::vector<std::string> host_names, server_names;
	std::vector<struct bb_host> hosts;
	std::vector<struct bb_backend> backends;
	std::vector<uint32_t> handles;
	struct bb_service service = {};
	struct bb_config config = {};
	std::vector<struct bb_balance *> balances;
	std::vector<struct bb_cost *> costs;
	std::vector<Server> servers;
	std::vector<struct bb_retry_budget> budgets;
	using Event = std::pair<int64_t, std::function<void()>>;
	struct later {
		bool operator()(const std::pair<Event, uint64_t> &a,
				const std::pair<Event, uint64_t> &b) const
		{
			return std::pair(a.first.first, a.second) >
			       std::pair(b.first.first, b.second);
		}
	};
	std::priority_queue<std::pair<Event, uint64_t>,
			    std::vector<std::pair<Event, uint64_t>>, later>
		events;
	uint64_t events_nr = 0;
	int64_t now = 1000 * S;
	int64_t start = now;
	std::vector<std::unique_ptr<Request>> requests;
	std::vector<double> latencies_ms;
	Result r;
	size_t late = 0;
	double mean_cost_us = 0;
	size_t slots = 0;
	std::set<const Server *> used;

	Sim(const Pattern &pattern, bool by_cost_)
	    : p(pattern), by_cost(by_cost_)
	{
		struct bb_retry_limits limits = bb_retry_limits_default();

		host_names.resize(NODES);
		hosts.resize(NODES);
		for (size_t i = 0; i < NODES; i++) {
			host_names[i] = "h" + std::to_string(i);
			hosts[i].name = host_names[i].data();
			hosts[i].zone_id = i % ZONES;
		}
		server_names.resize(p.servers);
		backends.resize(p.servers);
		servers.resize(p.servers);
		for (size_t i = 0; i < p.servers; i++) {
			Server &s = servers[i];

			server_names[i] = "s" + std::to_string(i);
			s.slots = 5 + g() % 7;
			s.speed = uniform() < p.slow ? 0.5 : 1;
			backends[i].name = server_names[i].data();
			backends[i].host = i;
			backends[i].weight = 1;
			backends[i].slots = s.slots;
			handles.push_back(i);
			slots += s.slots;
		}
		service.backends = handles.data();
		service.backends_nr = p.servers;
		config.hosts = hosts.data();
		config.hosts_nr = NODES;
		config.backends = backends.data();
		config.backends_nr = p.servers;
		config.services = &service;
		config.services_nr = 1;
		budgets.resize(NODES);
		for (size_t i = 0; i < NODES; i++) {
			struct bb_balance_options o = {};

			// The values of the platform's settings.
			o.config = &config;
			o.zone_id = hosts[i].zone_id;
			o.zone_penalty = -1;
			o.local_max_load = 0.5;
			o.subset = 24;
			o.self = hosts[i].name;
			o.stale_us = 150 * MS;
			o.seed = i + 1;
			balances.push_back(bb_balance_new(&o));
			costs.push_back(bb_cost_new(0));
			bb_retry_budget_init(&budgets[i], &limits, now);
		}
		for (const Kind &k : KINDS)
			mean_cost_us += k.share * k.mean_ms * MS * 1.04;
	}
	~Sim()
	{
		for (auto b : balances)
			bb_balance_delete(b);
		for (auto c : costs)
			bb_cost_delete(c);
	}
	double uniform()
	{
		return std::uniform_real_distribution<double>()(g);
	}
	void at(int64_t us, std::function<void()> f)
	{
		events.push({ { us, std::move(f) }, events_nr++ });
	}
	double lognormal(double mean, double spread)
	{
		double s2 = std::log(1 + spread * spread);

		return mean * std::exp(std::normal_distribution<double>(
				      -s2 / 2, std::sqrt(s2))(g));
	}
	struct bb_cost_kind shown(const Request *q) const
	{
		static const std::string name = "service", method = "GET";
		struct bb_cost_kind k = {};

		k.service = { name.data(), name.size() };
		k.route = { q->kind->route.data(), q->kind->route.size() };
		k.method = { method.data(), method.size() };
		k.account = { q->account.data(), q->account.size() };
		k.body_bytes = q->kind->request_bytes;
		return k;
	}
	int64_t wrong(int64_t us)
	{
		std::uniform_real_distribution<double> x(-4, 4);

		return p.wrong ? (int64_t)(us * std::exp2(x(errors))) : us;
	}
	struct bb_load load(Server &s)
	{
		struct bb_load l = {};

		l.in_flight = s.running.size();
		l.queued = s.waiting.size();
		l.slots = s.slots;
		if (!by_cost)
			return l;
		for (Request *q : s.running)
			l.work_us += bb_server_cost_remaining_us(
				&s.cost, q->sent_cost_us, now - q->started_us,
				now);
		for (Request *q : s.waiting)
			l.work_us += bb_server_cost_remaining_us(
				&s.cost, q->sent_cost_us, -1, now);
		l.work_us = wrong(l.work_us);
		l.speed_permille = wrong(bb_server_cost_speed(&s.cost, now));
		return l;
	}
	bool other_zone(const Request *q) const
	{
		return hosts[q->node].zone_id !=
		       hosts[backends[q->choice.backend].host].zone_id;
	}
	void count_bytes(const Request *q, size_t bytes)
	{
		if (now - start >= WARM_UP_US && other_zone(q))
			r.cross_mb += bytes / 1e6;
	}
	struct bb_attempt_limits limits(const Request *q) const
	{
		struct bb_attempt_limits l = {};

		l.idempotent = q->kind->idempotent;
		l.max_slot_searches = 3;
		l.deadline_us = q->arrived_us + q->kind->deadline_ms * MS;
		l.placement = by_cost ? &q->placement : nullptr;
		return l;
	}
	void attempt(Request *q)
	{
		struct bb_attempt_limits l = limits(q);
		struct bb_balance *b = balances[q->node];

		if (by_cost) {
			struct bb_cost_kind k = shown(q);
			struct bb_cost_estimate e =
				bb_cost_expect(costs[q->node], &k);

			q->placement.cost_us = wrong(e.mean_us);
			q->placement.service_us = e.service_mean_us;
			q->placement.bytes =
				q->kind->request_bytes + e.response_bytes;
			q->placement.target_us =
				q->arrived_us + q->kind->target_ms * MS;
			q->placement.deadline_us = l.deadline_us;
			q->sent_cost_us = q->placement.cost_us;
		}
		q->choice = bb_attempt_choose(&q->history, &l, b, now);
		if (q->choice.backend == BB_NO_ROW) {
			finish(q, false);
			return;
		}
		count_bytes(q, q->kind->request_bytes);
		at(now + HOP_US, [this, q] { arrive(q); });
	}
	void arrive(Request *q)
	{
		Server &s = servers[q->choice.backend];

		if (s.running.size() < s.slots) {
			run(s, q);
		} else if (q->history.may_wait) {
			s.waiting.push_back(q);
		} else {
			struct bb_load l = load(s);

			r.searches += now - start >= WARM_UP_US;
			at(now + HOP_US, [this, q, l] { refused(q, l); });
		}
	}
	void refused(Request *q, struct bb_load l)
	{
		struct bb_attempt_outcome o = { BB_VERDICT_NOT_RUN,
						BB_REASON_QUEUE_FULL, 503, 0 };
		struct bb_attempt_limits m = limits(q);

		bb_balance_report(balances[q->node], q->choice.path, &l, now);
		bb_path_release(q->choice.path);
		if (bb_attempt_decide_retry(&q->history, &m, &o,
					    &budgets[q->node], now))
			attempt(q);
		else
			finish(q, false);
	}
	void run(Server &s, Request *q)
	{
		int64_t took = (int64_t)(q->cost_us / s.speed);

		s.running.push_back(q);
		q->started_us = now;
		used.insert(&s);
		at(now + took, [this, &s, q, took] { ran(s, q, took); });
	}
	void ran(Server &s, Request *q, int64_t took)
	{
		s.running.erase(
			std::find(s.running.begin(), s.running.end(), q));
		bb_server_cost_finished(&s.cost, q->sent_cost_us, took, now);
		while (!s.waiting.empty() && s.running.size() < s.slots) {
			Request *next = s.waiting.front();

			s.waiting.pop_front();
			run(s, next);
		}
		count_bytes(q, q->kind->response_bytes);
		struct bb_load l = load(s);
		at(now + HOP_US, [this, q, l, took] { answered(q, l, took); });
	}
	void answered(Request *q, struct bb_load l, int64_t took)
	{
		bb_balance_report(balances[q->node], q->choice.path, &l, now);
		bb_path_release(q->choice.path);
		if (by_cost) {
			struct bb_cost_kind k = shown(q);
			struct bb_cost_sample s = { wrong(took),
						    l.speed_permille,
						    q->kind->response_bytes };

			bb_cost_learn(costs[q->node], &k, &s, now);
		}
		finish(q, true);
	}
	void finish(Request *q, bool served)
	{
		double ms = (double)(now - q->arrived_us) / MS;

		if (q->arrived_us - start < WARM_UP_US)
			return;
		r.requests++;
		latencies_ms.push_back(ms);
		late += !served || ms > q->kind->target_ms;
	}
	void submit()
	{
		double x = uniform();
		size_t k = 0;
		size_t zone = uniform() < p.first_zone ? 0 :
							 1 + g() % (ZONES - 1);
		auto q = std::make_unique<Request>();

		while (k + 1 < KINDS.size() && x >= KINDS[k].share)
			x -= KINDS[k++].share;
		q->node = g() % (NODES / ZONES) * ZONES + zone;
		q->kind = &KINDS[k];
		// A third of the accounts sends requests of twice the cost of
		// the others.
		size_t account = g() % 9;
		q->account = "a" + std::to_string(account);
		q->cost_us = lognormal(q->kind->mean_ms * MS, q->kind->spread) *
			     (account < 3 ? 1.5 : 0.75);
		if (uniform() < 0.01)
			q->cost_us *= 5;
		if (is_changed() && q->kind->route == "lookup")
			q->cost_us *= 4;
		q->arrived_us = now;
		attempt(q.get());
		requests.push_back(std::move(q));
	}
	bool is_changed() const
	{
		return p.change && now - start > (WARM_UP_US + END_US) / 2;
	}
	void arrivals()
	{
		double mean = mean_cost_us *
			      (is_changed() ? 1 + 3 * 0.40 * 120 / 303.0 : 1);
		double capacity = 0;

		for (const Server &s : servers)
			capacity += s.slots * s.speed;
		if (now - start >= END_US)
			return;
		at(now + (int64_t)std::exponential_distribution<double>(
				 p.load * capacity / mean)(g),
		   [this] {
			   submit();
			   arrivals();
		   });
	}
	void push()
	{
		for (size_t i = 0; i < servers.size(); i++) {
			struct bb_load l = load(servers[i]);

			for (auto b : balances)
				bb_balance_report(b, bb_balance_path(b, i), &l,
						  now);
		}
		if (now - start < END_US)
			at(now + p.push_us, [this] { push(); });
	}
	void count_used()
	{
		if (now - start > WARM_UP_US)
			r.used = std::min(r.used,
					  (double)used.size() / servers.size());
		used.clear();
		if (now - start < END_US - 2 * S)
			at(now + 2 * S, [this] { count_used(); });
	}
	Result result()
	{
		arrivals();
		count_used();
		if (p.push_us)
			at(now, [this] { push(); });
		while (!events.empty()) {
			Event e = events.top().first;

			events.pop();
			now = e.first;
			e.second();
		}
		std::sort(latencies_ms.begin(), latencies_ms.end());
		r.p50_ms = latencies_ms[latencies_ms.size() / 2];
		r.p99_ms = latencies_ms[latencies_ms.size() * 99 / 100];
		r.late = (double)late / r.requests;
		r.searches /= r.requests;
		return r;
	}
};

void print(const char *name, const Pattern &p, const char *choice,
	   const Result &r)
{
	std::printf("%-16s %2zu servers load %.2f %-9s %6zu requests "
		    "%7.2f MB between zones p50 %4.0f ms p99 %5.0f ms "
		    "late %.4f refused searches %.3f used %.2f\n",
		    name, p.servers, p.load, choice, r.requests, r.cross_mb,
		    r.p50_ms, r.p99_ms, r.late, r.searches, r.used);
}

struct Pair {
	Result before;
	Result after;
};

Pair compare(const char *name, const Pattern &p)
{
	Pair x;

	x.before = Sim(p, false).result();
	x.after = Sim(p, true).result();
	print(name, p, "by load", x.before);
	print(name, p, "placement", x.after);
	return x;
}

// Fewer than half of the bytes between zones, and no larger share of late
// requests than the runs differ among themselves.
void expect_better(const Pair &x)
{
	EXPECT_LE(x.after.cross_mb, x.before.cross_mb / 2);
	EXPECT_LE(x.after.late, x.before.late * 1.1 + 0.001);
	EXPECT_LE(x.after.p99_ms, x.before.p99_ms * 1.1);
}
} // namespace

// Guards against downloads that cross zones without need, and against requests
// that are late because bytes are saved, with servers alike.
TEST(Placement, HalfOfTheBytesAndNoMoreLateRequests)
{
	for (size_t servers : { 36, 11 })
		for (double load : { 0.7, 0.85, 0.95 }) {
			Pattern p = {};

			p.servers = servers;
			p.load = load;
			expect_better(compare("even", p));
		}
}

// The same where a fifth of the servers is slow, also with reports of each
// server every 500 ms, which all nodes get at once.
TEST(Placement, SlowServers)
{
	for (size_t servers : { 36, 11 })
		for (double load : { 0.85, 0.95 }) {
			Pattern p = {};

			p.servers = servers;
			p.load = load;
			p.slow = 0.2;
			expect_better(compare("slow", p));
			p.push_us = 500 * MS;
			expect_better(compare("slow, reports", p));
		}
}

// The same where half of the callers are in one of the three zones.
TEST(Placement, UnevenZones)
{
	for (size_t servers : { 36, 11 })
		for (double load : { 0.85, 0.95 }) {
			Pattern p = {};

			p.servers = servers;
			p.load = load;
			p.first_zone = 0.5;
			expect_better(compare("uneven", p));
		}
}

// The same while the cost of a kind becomes four times as high.
TEST(Placement, KindWhoseCostChanges)
{
	for (size_t servers : { 36, 11 }) {
		Pattern p = {};

		p.servers = servers;
		p.load = 0.85;
		p.change = true;
		expect_better(compare("change", p));
	}
}

// Guards against slow servers that get nothing while there is enough capacity
// elsewhere: at least 70% of the servers must get requests in any 2 s.
TEST(Placement, SlowServersStayInUse)
{
	for (size_t servers : { 36, 11 })
		for (int64_t push_us : { 0 * MS, 200 * MS }) {
			Pattern p = {};
			Pair x;

			p.servers = servers;
			p.load = 0.3;
			p.slow = 0.4;
			p.push_us = push_us;
			x = compare("many slow", p);
			EXPECT_GE(x.after.used, 0.7);
		}
}

// Guards against estimates that do harm when they are wrong: all costs, work and
// speeds are random, by a factor of 16 up and down.
TEST(Placement, WrongEstimatesCostLittle)
{
	for (size_t servers : { 36, 11 })
		for (double load : { 0.7, 0.85, 0.95 }) {
			Pattern p = {};
			Pair x;

			p.servers = servers;
			p.load = load;
			p.wrong = true;
			x = compare("wrong estimates", p);
			EXPECT_LE(x.after.late, x.before.late * 1.1 + 0.001);
			EXPECT_LE(x.after.p99_ms, x.before.p99_ms * 1.1);
			EXPECT_LE(x.after.cross_mb, x.before.cross_mb);
		}
}

namespace
{
// Six servers of 5 slots in 3 zones, seen from a node in the first zone.
struct Six {
	std::vector<std::string> names;
	struct bb_host hosts[6] = {};
	struct bb_backend backends[6] = {};
	uint32_t handles[6] = { 0, 1, 2, 3, 4, 5 };
	struct bb_service service = {};
	struct bb_config config = {};
	struct bb_balance *b;
	int64_t now = 1000 * S;

	explicit Six(double local_max_load = 0.5, uint64_t seed = 7)
	{
		struct bb_balance_options o = {};

		for (int i = 0; i < 6; i++)
			names.push_back("s" + std::to_string(i));
		for (int i = 0; i < 6; i++) {
			hosts[i].zone_id = i % 3;
			backends[i].name = names[i].data();
			backends[i].host = i;
			backends[i].weight = 1;
			backends[i].slots = 5;
		}
		service.backends = handles;
		service.backends_nr = 6;
		config.hosts = hosts;
		config.backends = backends;
		config.services = &service;
		config.services_nr = 1;
		o.config = &config;
		o.zone_penalty = -1;
		o.local_max_load = local_max_load;
		o.stale_us = 150 * MS;
		o.seed = seed;
		b = bb_balance_new(&o);
	}
	~Six()
	{
		bb_balance_delete(b);
	}
	void report(uint32_t i, uint32_t in_flight, uint32_t queued = 0,
		    int64_t work_us = 0, uint32_t speed = 0)
	{
		struct bb_load l = { in_flight, queued, 5, 0, work_us, speed };

		bb_balance_report(b, bb_balance_path(b, i), &l, now);
	}
	// Share of 1000 choices that stay in the first zone.
	double local(const struct bb_placement &p)
	{
		int n = 0;

		for (int i = 0; i < 1000; i++)
			n += choose(p) % 3 == 0;
		return n / 1000.0;
	}
	uint32_t choose(const struct bb_placement &p)
	{
		struct bb_choice c = bb_balance_place(b, &p, nullptr, 0, now);

		bb_path_release(c.path);
		return c.backend;
	}
	struct bb_placement request(uint64_t bytes, int64_t target_us) const
	{
		return { 200 * MS, 300 * MS, bytes, now + target_us,
			 now + 10 * S };
	}
};
} // namespace

// Guards against a choice that changes where the policy is off: without a
// placement, and while nothing is known of the service, it is the one by load.
TEST(Placement, WithoutPlacementTheChoiceIsByLoad)
{
	Six x, y, z;
	struct bb_placement unknown = {};
	std::vector<struct bb_path *> held;

	for (int i = 0; i < 3000; i++) {
		struct bb_choice a, b, c;

		a = bb_balance_choose(x.b, nullptr, 0, x.now + i);
		b = bb_balance_place(y.b, nullptr, nullptr, 0, x.now + i);
		c = bb_balance_place(z.b, &unknown, nullptr, 0, x.now + i);
		ASSERT_EQ(a.backend, b.backend);
		ASSERT_EQ(a.backend, c.backend);
		for (struct bb_path *path : { a.path, b.path, c.path })
			if (i % 3)
				bb_path_release(path);
			else
				held.push_back(path);
		if (i % 20 == 0)
			for (Six *s : { &x, &y, &z })
				s->report(i / 20 % 6, i % 8, i % 3, i * MS,
					  500 + i);
	}
	for (struct bb_path *path : held)
		bb_path_release(path);
}

// Guards against one threshold for all: a queue in the own zone sends small
// requests away, and large ones only if it makes them late.
TEST(Placement, LargeBodiesNeedALargerSaving)
{
	Six x;

	for (uint32_t i = 0; i < 6; i++)
		x.report(i, i % 3 ? 1 : 5, i % 3 ? 0 : 3);
	EXPECT_LT(x.local(x.request(500, 3 * S)), 0.2);
	EXPECT_EQ(1, x.local(x.request(90000, 3 * S)));
	EXPECT_LT(x.local(x.request(90000, 500 * MS)), 0.2);
	for (uint32_t i = 0; i < 6; i += 3)
		x.report(i, 5, 40);
	EXPECT_LT(x.local(x.request(90000, 30 * S)), 0.2);
}

// Guards against large requests that are sent away although all zones are as
// full, so that they are late everywhere.
TEST(Placement, LargeBodiesStayWhereNoZoneIsInTime)
{
	Six x;

	for (uint32_t i = 0; i < 6; i++)
		x.report(i, 5, 10);
	EXPECT_EQ(1, x.local(x.request(90000, 400 * MS)));
}

// Guards against a slow server that gets its share while others have free
// slots, and against one that gets nothing while the pool is full.
TEST(Placement, SlowServersGetWhatTheyCanServe)
{
	for (bool full : { false, true }) {
		Six x(0);
		std::map<uint32_t, int> n;

		for (int k = 0; k < 50; k++)
			for (uint32_t i = 0; i < 6; i++)
				x.report(i, full ? 5 : 1, 0, 0,
					 i == 3 ? 500 : 1000);
		for (int i = 0; i < 6000; i++)
			n[x.choose({ 200 * MS, 300 * MS, 500, 0, 0 })]++;
		std::printf("slow server: %d, equal one: %d of 6000 (%s)\n",
			    n[3], n[0], full ? "full" : "idle");
		if (full)
			EXPECT_GT(n[3], 300);
		else
			EXPECT_LT(n[3], 300);
	}
}

// Guards against old reports that decide: after a minute, neither work nor
// speed nor load matter much.
TEST(Placement, OldReportsDoNotDecide)
{
	Six x(0);
	std::map<uint32_t, int> n;
	std::vector<struct bb_choice> held;
	struct bb_placement p = { 200 * MS, 300 * MS, 500, 0, 0 };

	for (uint32_t i = 0; i < 6; i++)
		x.report(i, 2, 0, 500 * MS, i == 3 ? 500 : 1000);
	x.report(0, 5, 20, 10 * S, 1000);
	x.now += 60 * S;
	for (int i = 0; i < 6000; i++) {
		held.push_back(bb_balance_place(x.b, &p, nullptr, 0, x.now));
		n[held.back().backend]++;
	}
	for (auto &c : held)
		bb_path_release(c.path);
	EXPECT_NEAR(n[0], n[4], n[4] / 5);
	EXPECT_NEAR(n[3], n[0], n[0] / 4);
}

// Guards against a report of absurd work or speed that takes a server out of
// use, or that draws all requests.
TEST(Placement, AbsurdReportsAreBounded)
{
	Six x(0);
	struct bb_placement p = { 200 * MS, 300 * MS, 500, 0, 0 };
	std::map<uint32_t, int> n;

	for (uint32_t i = 1; i < 6; i++)
		x.report(i, 5, 5, 3 * S, 1000);
	x.report(0, 5, 2, INT64_MAX, UINT32_MAX);
	for (int i = 0; i < 6000; i++)
		n[x.choose(p)]++;
	EXPECT_GT(n[0], 1500);
	x.report(0, 5, 10, 1, UINT32_MAX);
	n.clear();
	for (int i = 0; i < 6000; i++)
		n[x.choose(p)]++;
	EXPECT_LT(n[0], 500);
}

// Guards against costs of ended requests that stay on a path.
TEST(Placement, OwnWorkEndsWithTheRequests)
{
	Six x(0);
	struct bb_placement heavy = { 100 * S, 300 * MS, 500, 0, 0 };
	struct bb_placement p = { 200 * MS, 300 * MS, 500, 0, 0 };
	std::vector<struct bb_choice> held;
	std::map<uint32_t, int> n;

	for (int i = 0; i < 20; i++)
		held.push_back(
			bb_balance_place(x.b, &heavy, nullptr, 0, x.now));
	for (auto &c : held)
		bb_path_release(c.path);
	for (int i = 0; i < 6000; i++)
		n[x.choose(p)]++;
	EXPECT_NEAR(n[0], n[3], n[3] / 5);
	EXPECT_GT(n[1], 500);
	EXPECT_EQ(0u, bb_path_in_flight(bb_balance_path(x.b, 0)));
}

#include <glib.h>
#include <gtest/gtest.h>
#include <ck_pr.h>
#include <cstring>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "baobabward/balance.h"

namespace
{
// A snapshot with one service; host i runs backend server i in zone i % 3.
struct pool {
	std::vector<struct bb_host> hosts;
	std::vector<struct bb_backend> backends;
	std::vector<uint32_t> handles;
	std::vector<std::string> names;
	struct bb_service service = {};
	struct bb_config config = {};

	explicit pool(size_t n, uint32_t floor = 0)
	{
		hosts.resize(n);
		backends.resize(n);
		names.resize(n);
		for (size_t i = 0; i < n; i++) {
			names[i] = "b" + std::to_string(i);
			hosts[i].zone_id = i % 3;
			backends[i].name = names[i].data();
			backends[i].host = i;
			backends[i].weight = 1;
			backends[i].slots = 4;
			handles.push_back(i);
		}
		service.floor_percent = floor;
		service.backends = handles.data();
		service.backends_nr = n;
		config.hosts = hosts.data();
		config.backends = backends.data();
		config.services = &service;
		config.services_nr = 1;
	}
	struct bb_balance *balance(struct bb_balance *previous = nullptr,
				   double penalty = 0)
	{
		struct bb_balance_options o = {};

		o.config = &config;
		o.zone_penalty = penalty;
		o.seed = 7;
		o.previous = previous;
		return bb_balance_new(&o);
	}
};

uint32_t choose(struct bb_balance *b, int64_t now = 1,
		std::vector<uint32_t> excluded = {})
{
	auto c = bb_balance_choose(b, excluded.data(), excluded.size(), now);

	if (c.path)
		bb_path_release(c.path);
	return c.backend;
}
} // namespace

// Guards against requests that are sent to another availability zone while the
// node's own zone has free slots, and against requests that stay in a full
// zone.
TEST(Balance, OwnZoneIsPreferredUpToItsMaxLoad)
{
	pool p(9);
	struct bb_balance_options o = {};
	struct bb_load load = {};
	int local = 0;

	o.config = &p.config;
	o.zone_penalty = 0.25;
	o.local_max_load = 0.8;
	o.seed = 7;
	struct bb_balance *b = bb_balance_new(&o);

	for (int i = 0; i < 300; i++)
		local += choose(b) % 3 == 0;
	EXPECT_EQ(300, local);
	load.in_flight = 4;
	load.slots = 4;
	for (uint32_t i = 0; i < 9; i += 3)
		bb_balance_report(b, bb_balance_path(b, i), &load, 1);
	local = 0;
	for (int i = 0; i < 300; i++)
		local += choose(b) % 3 == 0;
	EXPECT_LT(local, 60);
	bb_balance_delete(b);
}

// Guards against a backend server with a limit on its rate that gets the share
// of one that uses all of its slots.
TEST(Balance, FewerSlotsInUseGetFewerRequests)
{
	pool p(2);
	struct bb_balance *b = p.balance();
	std::vector<struct bb_choice> held;
	struct bb_load load = {};
	int limited = 0;

	load.slots = 1;
	bb_balance_report(b, bb_balance_path(b, 0), &load, 1);
	load.slots = 4;
	bb_balance_report(b, bb_balance_path(b, 1), &load, 1);
	for (int i = 0; i < 5; i++) {
		held.push_back(bb_balance_choose(b, nullptr, 0, 1));
		limited += held.back().backend == 0;
	}
	EXPECT_LE(limited, 2);
	for (auto &c : held)
		bb_path_release(c.path);
	bb_balance_delete(b);
}

// Guards against the choice of a backend server that has no weight, is leaving,
// out, excluded, or avoided by the hint of its adjacent node, and against no
// choice while one is eligible. Compares random states with a plain list.
TEST(Balance, ChoosesOnlyEligible)
{
	GRand *g = g_rand_new_with_seed(3);

	for (size_t n : { 1, 2, 5, 25, 400 })
		for (int round = 0; round < 40; round++) {
			pool p(n);
			std::vector<uint32_t> excluded;
			std::vector<bool> ineligible(n);

			for (size_t i = 0; i < n; i++) {
				int x = g_rand_int_range(g, 0, 8);

				ineligible[i] = x < 3;
				if (x == 0)
					p.backends[i].weight = 0;
				else if (x < 3)
					p.backends[i].state =
						(enum bb_backend_state)x;
			}
			struct bb_balance *b = p.balance();
			for (size_t i = 0; i < n; i++) {
				int x = g_rand_int_range(g, 0, 8);
				struct bb_load l = { 0, 0, 4, 1000, 0, 0 };

				if (x == 0)
					bb_balance_set_leaving(b, i, true);
				if (x == 1)
					bb_balance_report(b,
							  bb_balance_path(b, i),
							  &l, 1);
				if (x == 2)
					excluded.push_back(i);
				ineligible[i] = ineligible[i] || x < 3;
			}
			bool any = false;
			for (bool x : ineligible)
				any |= !x;
			for (int i = 0; i < 50; i++) {
				uint32_t c = choose(b, 2, excluded);

				ASSERT_EQ(any, c != BB_NO_ROW);
				if (any)
					ASSERT_FALSE(ineligible[c]);
			}
			bb_balance_delete(b);
		}
	g_rand_free(g);
}

namespace
{
// One of three zones is evacuated, then all, then none.
void evacuate(uint32_t floor)
{
	pool p(9, floor);

	for (size_t i = 0; i < 9; i += 3)
		p.hosts[i].evacuated = true;
	struct bb_balance *b = p.balance();

	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < 200; i++) {
			struct bb_choice any = bb_balance_choose_any(b, 1);
			struct bb_choice least =
				bb_balance_choose_least_loaded(b, NULL, 0, 1);

			for (auto &c : { any, least })
				if (c.path) {
					EXPECT_NE(0u, c.backend % 3);
					bb_path_release(c.path);
				}
			EXPECT_NE(0u, choose(b) % 3);
		}
		/* Neither when all others are avoided. */
		for (uint32_t i = 0; i < 9; i++)
			bb_balance_avoid(b, bb_balance_path(b, i), 1000, 1);
	}
	EXPECT_EQ((uint32_t)BB_NO_ROW, choose(b, 1, { 1, 2, 4, 5, 7, 8 }));

	/* All zones are evacuated. */
	for (auto &h : p.hosts)
		h.evacuated = true;
	struct bb_balance *none = p.balance(b);

	EXPECT_EQ((uint32_t)BB_NO_ROW, choose(none));
	EXPECT_EQ(nullptr, bb_balance_choose_any(none, 1).path);
	EXPECT_EQ(nullptr,
		  bb_balance_choose_least_loaded(none, NULL, 0, 1).path);

	/* They are used again afterwards. */
	for (auto &h : p.hosts)
		h.evacuated = false;
	struct bb_balance *again = p.balance(none);
	std::map<uint32_t, int> seen;

	for (int i = 0; i < 400; i++)
		seen[choose(again, 2000)]++;
	EXPECT_EQ(9u, seen.size());
	bb_balance_delete(b);
	bb_balance_delete(none);
	bb_balance_delete(again);
}
} // namespace

// Guards against requests to a zone that is evacuated: as the last resort, to
// keep the floor, or because all other paths are avoided.
TEST(Balance, EvacuatedServersAreNeverChosen)
{
	for (uint32_t floor : { 0, 70, 100 }) {
		SCOPED_TRACE(floor);
		evacuate(floor);
	}
}

// Guards against requests that are not distributed by weight.
TEST(Balance, FollowsWeights)
{
	pool p(25);

	for (size_t i = 0; i < 25; i++)
		p.backends[i].weight = i < 5 ? 3 : 1;
	struct bb_balance *b = p.balance();
	std::map<uint32_t, int> n;

	for (int i = 0; i < 70000; i++)
		n[choose(b)]++;
	for (size_t i = 0; i < 25; i++)
		EXPECT_NEAR(i < 5 ? 6000 : 2000, n[i], 700) << i;
	bb_balance_delete(b);
}

// Guards against an old report of a low load that attracts all requests: it
// must lose its weight against the mean of the pool.
TEST(Balance, OldReportDecaysToMean)
{
	pool p(5);
	struct bb_balance *b = p.balance();
	struct bb_load busy = { 4, 4, 4, 0, 0, 0 };
	struct bb_load idle = { 0, 0, 4, 0, 0, 0 };
	std::map<uint32_t, int> fresh, old;
	std::vector<struct bb_path *> taken;

	for (uint32_t i = 0; i < 5; i++)
		bb_balance_report(b, bb_balance_path(b, i), i ? &busy : &idle,
				  1);
	for (int i = 0; i < 10000; i++) {
		fresh[choose(b, 2)]++;
		auto c = bb_balance_choose(b, NULL, 0, 100000000);
		old[c.backend]++;
		taken.push_back(c.path);
	}
	for (auto path : taken)
		bb_path_release(path);
	EXPECT_GT(fresh[0], 3500);
	EXPECT_NEAR(2000, old[0], 100);
	bb_balance_delete(b);
}

// Guards against a zone penalty that keeps requests in this availability zone
// although its backend servers are full.
TEST(Balance, PrefersOwnZoneUntilBusy)
{
	pool p(6);
	struct bb_balance *b = p.balance(nullptr, 0.25);
	std::map<uint32_t, int> idle, busy;
	std::vector<struct bb_path *> taken;

	for (int i = 0; i < 6000; i++)
		idle[choose(b) % 3]++;
	for (int i = 0; i < 60; i++) {
		auto c = bb_balance_choose(b, NULL, 0, 1);

		busy[c.backend % 3]++;
		taken.push_back(c.path);
	}
	for (auto path : taken)
		bb_path_release(path);
	EXPECT_GT(idle[0], 3000);
	EXPECT_LT(busy[0], 35);
	bb_balance_delete(b);
}

// Guards against avoiding so many paths that less weight than the floor
// remains, and against no choice when all paths are avoided.
TEST(Balance, AvoidKeepsFloor)
{
	for (uint32_t floor : { 0, 60, 100 }) {
		pool p(5, floor);
		struct bb_balance *b = p.balance();
		int n = 0;

		for (uint32_t i = 0; i < 5; i++)
			n += bb_balance_avoid(b, bb_balance_path(b, i), 1000,
					      1);
		EXPECT_EQ(floor == 0 ? 4 : floor == 60 ? 2 : 0, n);
		EXPECT_NE(BB_NO_ROW, choose(b, 2));
		if (floor == 0) {
			EXPECT_EQ(4u, choose(b, 2));
			EXPECT_NE(BB_NO_ROW, choose(b, 2, { 4 }));
		}
		bb_balance_delete(b);
	}
}

// Guards against counts of requests in flight and hints that are lost with a
// new snapshot, and against a use after free by a request that outlives the
// balance it was chosen with.
TEST(Balance, CarriesStateOver)
{
	pool p(3), q(2);
	struct bb_balance *a = p.balance();
	struct bb_load hint = { 0, 0, 4, 1000, 0, 0 };

	bb_balance_report(a, bb_balance_path(a, 0), &hint, 1);
	auto c = bb_balance_choose(a, NULL, 0, 2);
	auto d = bb_balance_choose(a, std::vector<uint32_t>{ c.backend }.data(),
				   1, 2);
	struct bb_balance *b = q.balance(a);

	bb_balance_delete(a);
	EXPECT_EQ(1u, bb_path_in_flight(bb_balance_path(b, 1)));
	EXPECT_EQ(1u, choose(b, 2));
	bb_path_release(c.path);
	bb_path_release(d.path);
	EXPECT_EQ(0u, bb_path_in_flight(bb_balance_path(b, 1)));
	bb_balance_delete(b);
}

// Guards against data races and lost counts of requests in flight when front
// threads and the traffic thread use one balance; also run under
// ThreadSanitizer.
TEST(Balance, Threads)
{
	pool p(25);
	struct bb_balance *b = p.balance();
	std::vector<std::thread> threads;

	for (int t = 0; t < 3; t++)
		threads.emplace_back([b, t] {
			for (int i = 0; i < 20000; i++) {
				auto c = bb_balance_choose(b, NULL, 0, i);
				struct bb_load l = { 1, (uint32_t)i % 3,
						     4, 0,
						     0, 0 };

				if (t == 0)
					bb_balance_report(b, c.path, &l, i);
				if (t == 1 && i % 100 == 0)
					bb_balance_avoid(b, c.path, i + 50, i);
				bb_path_release(c.path);
			}
		});
	for (auto &t : threads)
		t.join();
	for (uint32_t i = 0; i < 25; i++)
		EXPECT_EQ(0u, bb_path_in_flight(bb_balance_path(b, i)));
	bb_balance_delete(b);
}

namespace
{
// A pool of n backend servers, each on a host of its own in one of three zones,
// and the balance of the entry node on one of these hosts.
struct SubsetPool : pool {
	std::vector<std::string> host_names;

	explicit SubsetPool(size_t n) : pool(n)
	{
		host_names.resize(n);
		for (size_t i = 0; i < n; i++) {
			host_names[i] = "host-" + std::to_string(i);
			hosts[i].name = host_names[i].data();
		}
	}
	struct bb_balance *balance_of(size_t self, uint32_t subset,
				      struct bb_balance *previous = nullptr,
				      double local_max_load = 0)
	{
		struct bb_balance_options o = {};

		o.config = &config;
		o.zone_id = (uint32_t)self % 3;
		o.subset = subset;
		o.self = host_names[self].c_str();
		o.seed = self;
		o.previous = previous;
		o.local_max_load = local_max_load;
		return bb_balance_new(&o);
	}
	// Backend servers that a balance chooses while it has no request in
	// progress.
	static std::map<uint32_t, int> chosen(struct bb_balance *b, int times,
					      int64_t now = 1)
	{
		std::map<uint32_t, int> m;

		for (int i = 0; i < times; i++)
			m[choose(b, now)]++;
		return m;
	}
};
} // namespace

// Guards against nodes that open connections to the whole of a large pool, and
// against backend servers that are in few subsets or in too many.
TEST(BalanceSubset, BackendServersAreInAboutAsManySubsets)
{
	for (size_t n : { 101, 353, 580 }) {
		SubsetPool p(n);
		std::vector<int> users(n);
		size_t all = 0;

		for (size_t i = 0; i < n; i++) {
			struct bb_balance *b = p.balance_of(i, 24);

			EXPECT_EQ(std::max<size_t>(24, n / 8),
				  bb_balance_subset(b, 1));
			for (auto &c : p.chosen(b, 2000)) {
				users[c.first]++;
				all++;
			}
			bb_balance_delete(b);
		}
		for (size_t i = 0; i < n; i++) {
			EXPECT_GE(users[i] * n * 2.5, all) << n;
			EXPECT_LE(users[i] * n, all * 2.5) << n;
		}
	}
}

// Guards against a subset that is not used in small pools, where it would only
// make the choice smaller.
TEST(BalanceSubset, SmallPoolsAreUsedWhole)
{
	SubsetPool p(24);
	struct bb_balance *b = p.balance_of(3, 24);

	EXPECT_EQ(24u, p.chosen(b, 2000).size());
	bb_balance_delete(b);
}

// Guards against a subset without enough of the own availability zone, or with
// nothing else: its load or its loss must leave a choice.
TEST(BalanceSubset, HalfIsOfTheOwnZone)
{
	SubsetPool p(353);

	for (size_t self : { 0, 1, 200 }) {
		struct bb_balance *b = p.balance_of(self, 24);
		int local = 0;
		auto m = p.chosen(b, 4000);

		for (auto &c : m)
			local += c.first % 3 == self % 3;
		EXPECT_EQ(44u, m.size());
		EXPECT_EQ(22, local);
		EXPECT_EQ(1u, m.count((uint32_t)self));
		bb_balance_delete(b);
	}
}

// Guards against a node whose whole subset fails, is ejected or leaves and that
// then refuses requests or overloads the rest of it.
TEST(BalanceSubset, IsWidenedByMembersThatCannotBeChosen)
{
	SubsetPool p(353);
	struct bb_balance *b = p.balance_of(7, 24);
	struct bb_load refusing = { 0, 0, 4, 5000000, 0, 0 };
	auto first = p.chosen(b, 4000);
	int64_t now = 1000000;

	for (auto &c : first)
		bb_balance_report(b, bb_balance_path(b, c.first), &refusing,
				  now);
	// The interval at which the subset is adapted.
	now += 100000;
	auto second = p.chosen(b, 4000, now);
	EXPECT_EQ(44u, second.size());
	EXPECT_EQ(88u, bb_balance_subset(b, now));
	for (auto &c : second)
		EXPECT_EQ(0u, first.count(c.first));
	// Back to the first ones when they accept requests again.
	now += 6000000;
	EXPECT_EQ(first.size(), p.chosen(b, 4000, now).size());
	bb_balance_delete(b);
}

// Guards against a request that is refused because all of the subset was tried,
// although others are left.
TEST(BalanceSubset, WholePoolIsTheLastResort)
{
	SubsetPool p(200);
	struct bb_balance *b = p.balance_of(7, 24);
	std::vector<uint32_t> tried;

	for (int i = 0; i < 200; i++) {
		uint32_t c = choose(b, 1, tried);

		ASSERT_NE(BB_NO_ROW, c);
		tried.push_back(c);
	}
	EXPECT_EQ(BB_NO_ROW, choose(b, 1, tried));
	bb_balance_delete(b);
}

// Guards against connections that change all over the fleet when one backend
// server leaves or joins, and against one that joins and gets no requests.
TEST(BalanceSubset, ChangesAsLittleAsThePool)
{
	SubsetPool p(200);
	int users = 0;

	for (size_t self = 0; self < 50; self++) {
		p.service.backends_nr = 200;
		struct bb_balance *all = p.balance_of(self, 24);
		auto before = p.chosen(all, 3000);
		p.service.backends_nr = 199;
		struct bb_balance *less = p.balance_of(self, 24, all);
		auto after = p.chosen(less, 3000);
		int gone = 0;

		users += before.count(199) > 0;
		for (auto &c : before)
			gone += !after.count(c.first);
		EXPECT_LE(gone, 2) << self;
		bb_balance_delete(less);
		bb_balance_delete(all);
	}
	EXPECT_GE(users, 1);
}

// Guards against weights that are not followed within a subset.
TEST(BalanceSubset, FollowsWeights)
{
	SubsetPool p(200);

	for (size_t i = 0; i < 200; i++)
		p.backends[i].weight = i % 2 ? 1 : 0.25;
	struct bb_balance *b = p.balance_of(7, 24);
	double low = 0, high = 0, low_nr = 0, high_nr = 0;

	for (auto &c : p.chosen(b, 20000)) {
		(c.first % 2 ? high : low) += c.second;
		(c.first % 2 ? high_nr : low_nr) += 1;
	}
	EXPECT_NEAR(4, high / high_nr / (low / low_nr), 0.8);
	bb_balance_delete(b);
}

// Tests of the choice of committees in fleets of several sizes.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "baobabward/lease.h"

namespace
{

// A configuration with named hosts and nothing else.
struct Hosts {
	std::vector<std::string> names;
	std::vector<struct bb_host> hosts;
	struct bb_config config = {};

	explicit Hosts(size_t n)
	{
		for (size_t i = 0; i < n; i++)
			names.push_back("10.1." + std::to_string(i / 250) +
					"." + std::to_string(i % 250));
		build();
	}
	void build()
	{
		hosts.assign(names.size(), {});
		for (size_t i = 0; i < names.size(); i++)
			hosts[i].name = names[i].data();
		config.hosts = hosts.data();
		config.hosts_nr = hosts.size();
	}
};

std::set<std::string> members(const Hosts &h, const bb_lease_map *m)
{
	std::set<std::string> s;

	for (uint32_t g = 0; g < BB_LEASE_GROUPS; g++)
		for (uint32_t r = 0; r < bb_lease_map_seats(m); r++)
			s.insert(h.names[bb_lease_map_seat(m, g, r)]);
	return s;
}

} // namespace

// Guards against nodes that have to talk to the whole of a large fleet for the
// rates of client accounts, and against small fleets with few holders.
TEST(LeaseMap, LargeFleetsHaveFewHolders)
{
	struct {
		size_t hosts, members;
	} sizes[] = {
		{ 3, 3 }, { 24, 24 }, { 101, 32 }, { 353, 44 }, { 580, 72 }
	};

	for (auto &s : sizes) {
		Hosts h(s.hosts);
		bb_lease_map *m = bb_lease_map_new(&h.config, false);

		EXPECT_EQ(s.members, members(h, m).size());
		bb_lease_map_unref(m);
		m = bb_lease_map_new(&h.config, true);
		EXPECT_EQ(s.hosts, members(h, m).size());
		bb_lease_map_unref(m);
	}
}

// Guards against a seat that is given to one host twice, and against holders
// with much more than their share of the groups.
TEST(LeaseMap, SeatsAreSpread)
{
	Hosts h(353);
	bb_lease_map *m = bb_lease_map_new(&h.config, false);
	std::vector<int> first(353);

	for (uint32_t g = 0; g < BB_LEASE_GROUPS; g++) {
		std::set<uint32_t> seats;

		for (uint32_t r = 0; r < bb_lease_map_seats(m); r++)
			seats.insert(bb_lease_map_seat(m, g, r));
		EXPECT_EQ(bb_lease_map_seats(m), seats.size());
		first[bb_lease_map_seat(m, g, 0)]++;
	}
	// 512 groups over 44 hosts: 11.6 on average.
	for (int n : first)
		EXPECT_LE(n, 35);
	bb_lease_map_unref(m);
}

// Guards against committees that change all over when one host leaves, which
// would empty the buckets of all client accounts.
TEST(LeaseMap, OneHostChangesLittle)
{
	Hosts all(353);
	bb_lease_map *before = bb_lease_map_new(&all.config, false);
	int worst = 0;

	for (size_t gone = 0; gone < 353; gone += 7) {
		Hosts less(353);

		less.names.erase(less.names.begin() + (long)gone);
		less.build();
		bb_lease_map *after = bb_lease_map_new(&less.config, false);
		int changed = 0;

		EXPECT_FALSE(bb_lease_map_fits(before, &less.config));
		for (uint32_t g = 0; g < BB_LEASE_GROUPS; g++)
			changed += all.names[bb_lease_map_seat(before, g, 0)] !=
				   less.names[bb_lease_map_seat(after, g, 0)];
		worst = std::max(worst, changed);
		bb_lease_map_unref(after);
	}
	EXPECT_LE(worst, BB_LEASE_GROUPS / 10);
	EXPECT_TRUE(bb_lease_map_fits(before, &all.config));
	bb_lease_map_unref(before);
}

// Guards against a map that is kept although the same hosts have other indexes.
TEST(LeaseMap, OtherOrderDoesNotFit)
{
	Hosts h(24);
	bb_lease_map *m = bb_lease_map_new(&h.config, false);

	std::swap(h.names[3], h.names[4]);
	h.build();
	EXPECT_FALSE(bb_lease_map_fits(m, &h.config));
	bb_lease_map_unref(m);
}

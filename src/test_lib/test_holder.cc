// The holder when groups are held by rank instead of by lease.
#include <gtest/gtest.h>
#include <set>
#include <string>

#include "lease_fixture.h"

namespace
{

// Holders of three hosts. @alive has the live hosts, @permille the thousandths
// of the hosts that are reachable.
struct Ranked : ThreeHosts {
	std::set<uint32_t> alive = { 0, 1, 2 };
	uint32_t permille = 1000;
	struct bb_account account = {};
	uint32_t group;
	struct bb_holder *holders[3];

	Ranked()
	{
		account.name = (char *)"account";
		config.accounts = &account;
		config.accounts_nr = 1;
		group = bb_lease_group("account", 7);
		for (int i = 0; i < 3; i++) {
			struct bb_holder_options o = {};

			o.self = hosts[i].name;
			o.incarnation = 1;
			o.data = this;
			o.alive = [](void *d, uint32_t host, int64_t) {
				return ((Ranked *)d)->alive.count(host) > 0;
			};
			o.reachable_permille = [](void *d, int64_t) {
				return ((Ranked *)d)->permille;
			};
			holders[i] = bb_holder_new(&o);
			bb_holder_set_config(holders[i], &config, map, now);
		}
	}
	~Ranked()
	{
		for (auto *h : holders)
			bb_holder_delete(h);
	}
	void tick()
	{
		for (auto *h : holders)
			bb_holder_tick(h, now);
	}
	uint32_t share(uint32_t host)
	{
		return bb_holder_share(holders[host], group, now);
	}
	uint32_t first(uint32_t parity = 0)
	{
		return bb_lease_map_seat(map, group, parity);
	}
};

const uint32_t kHalf = BB_LEASE_SHARE_TOTAL / 2;

} // namespace

// Guards against a part of a group that no host holds, or that two hosts hold
// although they agree on which hosts are alive.
TEST(Holder, FirstLiveHostsHoldAHalfEach)
{
	Ranked x;

	x.tick();
	EXPECT_EQ(kHalf, x.share(x.first(0)));
	EXPECT_EQ(kHalf, x.share(x.first(1)));
	EXPECT_EQ(0u, x.share(x.first(2)));
	EXPECT_EQ(2u, bb_holder_seats(x.holders[x.first(0)], x.group, x.now));
	EXPECT_EQ(1u, bb_holder_seats(x.holders[x.first(1)], x.group, x.now));
	x.alive.erase(x.first(0));
	x.tick();
	EXPECT_EQ(0u, x.share(x.first(0)));
	EXPECT_EQ(kHalf, x.share(x.first(1)));
	EXPECT_EQ(kHalf, x.share(x.first(2)));
	x.alive.erase(x.first(2));
	x.tick();
	EXPECT_EQ(2 * kHalf, x.share(x.first(1)));
	x.alive.insert(x.first(0));
	x.tick();
	EXPECT_EQ(kHalf, x.share(x.first(0)));
	EXPECT_EQ(kHalf, x.share(x.first(1)));
}

// Guards against the small side of a partition holding the whole of a group and
// so admitting the whole rate.
TEST(Holder, MinorityHoldsItsPart)
{
	Ranked x;

	x.permille = 500;
	x.tick();
	EXPECT_EQ(kHalf, x.share(x.first()));
	x.permille = 250;
	x.now += 100 * BB_US_PER_MS;
	x.tick();
	EXPECT_EQ(kHalf / 4, x.share(x.first()));
}

// Guards against a holder that uses its share after a pause although another
// host took it meanwhile, and against refilling for the time of the pause.
TEST(Holder, PausedHolderStartsAnew)
{
	Ranked x;
	uint64_t since, before;

	x.tick();
	before = bb_holder_share_integral(x.holders[x.first()], x.group, x.now,
					  &since);
	EXPECT_EQ(before, since);
	x.now += 10 * BB_US_PER_S;
	EXPECT_EQ(0u, x.share(x.first()));
	x.tick();
	EXPECT_EQ(bb_holder_share_integral(x.holders[x.first()], x.group, x.now,
					   &since),
		  since);
	EXPECT_LE(since - before, (uint64_t)kHalf * 1200 * BB_US_PER_MS);
}

// Guards against work for groups without a client account or service. In a
// small fleet most groups have none.
TEST(Holder, UnusedGroupsAreNotHeld)
{
	Ranked x;

	x.tick();
	EXPECT_EQ(1u, bb_holder_groups(x.holders[x.first()], x.now));
}

// The lender: requests that it refuses and grants later, and its wait before it
// lends.
#include <glib.h>
#include <gtest/gtest.h>

#include <vector>

#include "baobabward/clock.h"
#include "baobabward/lease.h"
#include "lease_fixture.h"

static const int64_t SECOND_US = BB_US_PER_S;
static const int64_t TICK_US = 50000;
static const int64_t TERM_US = 8 * SECOND_US;
// Wait of a restarted lender: freshness bound and term, lengthened by 3% for
// the drift of both clocks.
static const int64_t WAIT_US = (10 * SECOND_US + TERM_US) * 103 / 100 + TICK_US;

struct SentGrants {
	uint32_t host;
	uint64_t nonce;
	std::vector<uint32_t> groups;
};

// The lender is host 0 of three. @quorum tells it that it may lend; @granted
// has the answers that grant a lease.
struct Lender : ThreeHosts {
	struct bb_lender *l;
	bool quorum = true;
	bool host_dead[3] = {};
	std::vector<SentGrants> granted;

	Lender()
	{
		struct bb_lender_options o = {};

		o.self = "host0";
		o.incarnation = 1;
		o.data = this;
		o.may_lend = [](void *data, int64_t) {
			return ((Lender *)data)->quorum;
		};
		o.quorum_accepted = [](void *, uint64_t) { return true; };
		o.alive = [](void *data, uint32_t host, int64_t) {
			return !((Lender *)data)->host_dead[host];
		};
		o.send = [](void *data, uint32_t host,
			    const struct bb_message *m) {
			((Lender *)data)->record_grants(host, &m->lease_grant);
		};
		o.term_us = TERM_US;
		o.freshness_us = 10 * SECOND_US;
		o.drift_ppm = BB_LEASE_DRIFT_PPM;
		l = bb_lender_new(&o);
		bb_lender_set_config(l, &config, map, now);
	}

	~Lender()
	{
		bb_lender_delete(l);
	}

	void record_grants(uint32_t host,
			   const struct bb_message_lease_grant *g)
	{
		SentGrants s = { host, g->nonce, {} };

		for (size_t i = 0; i < g->grants_nr; i++)
			if (g->grants[i].term_ms)
				s.groups.push_back(g->grants[i].group);
		if (!s.groups.empty())
			granted.push_back(s);
	}

	void ask(uint32_t host, uint64_t nonce, std::vector<uint32_t> groups)
	{
		struct bb_message m = {};

		m.type = BB_MESSAGE_LEASE_REQUEST;
		m.lease_request.incarnation = 10 + host;
		m.lease_request.config_version = config.version;
		m.lease_request.nonce = nonce;
		m.lease_request.groups = groups.data();
		m.lease_request.groups_nr = groups.size();
		bb_lender_receive(l, host, &m, now);
	}

	void release(uint32_t host, uint64_t nonce, uint32_t group)
	{
		struct bb_message m = {};

		m.type = BB_MESSAGE_LEASE_RELEASE;
		m.lease_release.incarnation = 10 + host;
		m.lease_release.nonce = nonce;
		m.lease_release.groups = &group;
		m.lease_release.groups_nr = 1;
		bb_lender_receive(l, host, &m, now);
	}

	void run(int64_t duration)
	{
		for (int64_t end = now + duration; now < end; now += TICK_US)
			bb_lender_tick(l, now);
	}

	// Rank of this lender's seat in a group.
	uint32_t rank(uint32_t group)
	{
		uint32_t r = 0;

		while (bb_lease_map_seat(map, group, r))
			r++;
		return r;
	}

	// A group in which this lender's seat has @host as its preferred
	// borrower, and @next if @host is dead.
	uint32_t group_of(uint32_t host, uint32_t next)
	{
		for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++)
			if (rank(i) % 2 == 0 &&
			    bb_lease_map_seat(map, i, 0) == host &&
			    bb_lease_map_seat(map, i, 2) == next)
				return i;
		return BB_LEASE_GROUPS;
	}
};

// Guards against a lease that no host holds for up to 2 s after the wait of a
// restarted lender, and against one that is granted before the wait ends.
TEST(Lender, GrantsWhenTheWaitIsOver)
{
	Lender f;
	uint32_t a = f.group_of(1, 0);

	ASSERT_LT(a, BB_LEASE_GROUPS);
	f.run(WAIT_US - SECOND_US);
	f.ask(1, 1, { a });
	EXPECT_TRUE(f.granted.empty());
	f.run(SECOND_US - 2 * TICK_US);
	EXPECT_TRUE(f.granted.empty());
	f.run(4 * TICK_US);
	ASSERT_EQ(1u, f.granted.size());
	EXPECT_EQ(1u, f.granted[0].host);
	EXPECT_EQ(1u, f.granted[0].nonce);
	// The request is granted only once.
	f.run(SECOND_US);
	EXPECT_EQ(1u, f.granted.size());
}

// Guards against a second borrower before the lease of the first ends, and
// against a gap after the first released it or failed.
TEST(Lender, GrantsWhenTheLeaseIsFree)
{
	for (bool releases : { true, false }) {
		Lender f;
		uint32_t a = f.group_of(1, 0);

		f.run(WAIT_US + SECOND_US);
		f.ask(1, 1, { a });
		ASSERT_EQ(1u, f.granted.size());
		f.host_dead[1] = true;
		f.run(releases ? SECOND_US : TERM_US - SECOND_US);
		f.ask(0, 7, { a });
		f.run(SECOND_US - 2 * TICK_US);
		ASSERT_EQ(1u, f.granted.size());
		if (releases)
			f.release(1, 2, a);
		f.run(3 * TICK_US);
		ASSERT_EQ(2u, f.granted.size());
		EXPECT_EQ(0u, f.granted[1].host);
		EXPECT_EQ(7u, f.granted[1].nonce);
	}
}

// Guards against a late answer that is no longer permitted: the request is too
// old, was cancelled by a release, or came from a host that is no longer the
// preferred borrower, or the lender lost its quorum, or it skipped versions of
// the configuration.
TEST(Lender, LateAnswerFollowsTheRules)
{
	for (int fault = 0; fault < 5; fault++) {
		Lender f;
		uint32_t a = f.group_of(1, 0);

		f.run(WAIT_US - (fault == 0 ? 3 * SECOND_US : SECOND_US));
		f.ask(1, 1, { a });
		if (fault == 1)
			f.release(1, 2, a);
		f.host_dead[1] = fault == 2;
		f.quorum = fault != 3;
		if (fault == 4) {
			f.config.version = 9;
			bb_lender_set_config(f.l, &f.config, f.map, f.now);
		}
		f.run(4 * SECOND_US);
		EXPECT_TRUE(f.granted.empty()) << fault;
		EXPECT_EQ(0u, bb_lender_active_leases(f.l, f.now)) << fault;
	}
}

// Guards against late answers that are sent in one message for each group, and
// against grants in the answer to another request.
TEST(Lender, LateAnswersAreBatched)
{
	Lender f;
	std::vector<uint32_t> first, second;

	for (uint32_t i = 0; i < BB_LEASE_GROUPS; i++)
		if (bb_lease_map_seat(f.map, i, f.rank(i) % 2) == 1)
			(first.size() < 20 ? first : second).push_back(i);
	f.run(WAIT_US - SECOND_US);
	f.ask(1, 1, first);
	f.ask(1, 2, second);
	f.run(2 * SECOND_US);
	ASSERT_EQ(2u, f.granted.size());
	for (const SentGrants &s : f.granted)
		EXPECT_EQ(s.nonce == 1 ? first : second, s.groups);
	EXPECT_EQ(first.size() + second.size(),
		  bb_lender_active_leases(f.l, f.now));
}

// Guards against a lender that continues to lend although another host had, or
// may have had, its seat in a version that the lender skipped; and against one
// that pauses although the version fields of the configuration show that no
// host had.
TEST(Lender, SkippedVersionsOfTheHosts)
{
	static const struct {
		uint64_t version, hosts_version, before;
		bool other_hosts, lends;
	} cases[] = {
		{ 12, 12, 0, true, true }, // no version skipped
		{ 15, 9, 3, false, true }, // same hosts in versions 9 to 15
		{ 15, 14, 11, true, true }, // one change, in version 14
		{ 13, 13, 12, false, false }, // this host may be missing in 12
		{ 15, 14, 12, true, false }, // a list in 12 and 13 is skipped
		{ 15, 12, 0, false, false }, // lists before 12 unknown
		{ 15, 0, 0, false, false }, // all lists unknown
		{ 15, 9, 3, true, false }, // fields are wrong: the hosts differ
	};

	for (const auto &c : cases) {
		Lender f;
		struct bb_lease_map *other;
		uint32_t a = f.group_of(1, 0);

		f.config.version = 11;
		bb_lender_set_config(f.l, &f.config, f.map, f.now);
		f.run(WAIT_US + SECOND_US);
		f.ask(1, 1, { a });
		ASSERT_EQ(1u, f.granted.size());
		f.config.version = c.version;
		f.config.hosts_version = c.hosts_version;
		f.config.hosts_version_before = c.before;
		if (c.other_hosts)
			f.hosts[2].name[4] = '9';
		other = bb_lease_map_new(&f.config, true);
		bb_lender_set_config(f.l, &f.config, other, f.now);
		bb_lease_map_unref(other);
		f.ask(1, 2, { a });
		EXPECT_EQ(c.lends ? 2u : 1u, f.granted.size())
			<< c.version << " " << c.hosts_version << " "
			<< c.before;
		f.run(WAIT_US - 2 * TICK_US);
		f.ask(1, 3, { a });
		EXPECT_EQ(c.lends ? 3u : 1u, f.granted.size());
		f.run(4 * TICK_US);
		EXPECT_EQ(c.lends ? 3u : 2u, f.granted.size());
	}
}

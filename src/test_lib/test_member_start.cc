// Tests of the start of a node, which does not know what its earlier
// incarnation had accepted.
#include <gtest/gtest.h>

#include "bench/member_sim.h"

static const int64_t S = G_USEC_PER_SEC;

struct Fleet {
	struct bb_config *config[6];
	struct sim *s;

	// All nodes start with version 1; those that hear of version 2 fetch
	// it.
	Fleet(uint32_t nr, uint32_t seed)
	{
		for (uint32_t v = 0; v < 6; v++)
			config[v] = sim_config(v, 0, nr);
		s = sim_new(nr, seed, config[1], nullptr, false);
		s->newest = config[2];
		s->fetch_us = 5000;
	}

	~Fleet()
	{
		sim_delete(s);
		for (struct bb_config *c : config)
			sim_config_delete(c);
	}

	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	// Version in force at a node, 0 for none.
	uint64_t in_force(uint32_t i)
	{
		struct sim_node *n = &s->nodes[i];

		return !n->down && bb_member_in_force(n->m) ?
			       n->config->version :
			       0;
	}

	uint32_t count(uint64_t version, uint32_t from, uint32_t to)
	{
		uint32_t nr = 0;

		for (uint32_t i = from; i < to; i++)
			nr += in_force(i) == version;
		return nr;
	}

	bool current(uint32_t i)
	{
		return bb_member_current(s->nodes[i].m,
					 sim_clock(&s->nodes[i]));
	}

	void cut(uint32_t a, uint32_t a_end, uint32_t b, uint32_t b_end,
		 bool blocked)
	{
		sim_block(s, a, a_end, b, b_end, blocked);
		sim_block(s, b, b_end, a, a_end, blocked);
	}

	void read_service(uint32_t i)
	{
		struct sim_node *n = &s->nodes[i];

		bb_member_note_service_read(n->m, n->config->version,
					    sim_clock(n));
	}

	// Hosts 0 to 2 of 5 accept version 2 while 3 and 4 are partitioned off.
	void accept_in_part()
	{
		sim_run(s, 5 * S);
		cut(0, 3, 3, 5, true);
		sim_accept(&s->nodes[0], config[2]);
		sim_run(s, 5 * S);
		ASSERT_EQ(3u, count(2, 0, 3));
		ASSERT_EQ(2u, count(1, 3, 5));
	}
};

// Guards against a restarted node that puts the version of a stale replica and
// of stale peers in force, although a quorum had accepted a newer one.
TEST(MemberStart, StaleReplicaAndStalePeers)
{
	Fleet f(5, 1);

	f.accept_in_part();
	f.s->nodes[0].down = true;
	f.cut(0, 1, 1, 3, true);
	f.cut(0, 1, 3, 5, false);
	sim_run(f.s, S);
	sim_start(f.s, 0, f.config[1]);
	for (int t = 0; t < 120; t++) {
		f.read_service(0);
		sim_run(f.s, S / 2);
		ASSERT_EQ(0u, f.in_force(0));
		ASSERT_FALSE(f.current(0));
		ASSERT_EQ(0u, bb_member_version(f.s->nodes[0].m, 0));
		ASSERT_FALSE(sim_quorum(f.s, 0));
		// It does not know of version 2 and counts for no quorum.
		ASSERT_FALSE(t > 40 && sim_quorum(f.s, 3));
	}
	f.cut(0, 1, 1, 3, false);
	sim_run(f.s, 10 * S);
	EXPECT_EQ(2u, f.in_force(0));
	EXPECT_TRUE(f.current(0));
	f.cut(0, 3, 3, 5, false);
	sim_run(f.s, 30 * S);
	EXPECT_EQ(5u, f.count(2, 0, 5));
}

// Guards against a restarted node that puts a version in force while it has
// evidence of too few seats. The other nodes are partitioned from each other,
// so that none passes on evidence of another.
TEST(MemberStart, PartitionAtStart)
{
	Fleet f(5, 2);

	sim_run(f.s, 5 * S);
	f.cut(0, 5, 0, 5, true);
	sim_start(f.s, 4, f.config[1]);
	for (uint32_t heard = 0; heard < 3; heard++) {
		if (heard)
			f.cut(4, 5, heard - 1, heard, false);
		for (int t = 0; t < 60; t++) {
			f.read_service(4);
			sim_run(f.s, S / 2);
			ASSERT_EQ(0u, f.in_force(4)) << heard;
			ASSERT_FALSE(f.current(4));
		}
	}
	f.cut(4, 5, 2, 3, false);
	sim_run(f.s, 5 * S);
	EXPECT_EQ(1u, f.in_force(4));
	EXPECT_TRUE(f.current(4));
}

// Guards against peers that count a starting node as having accepted its
// candidate, or that consider it alive and so prefer it as a borrower.
TEST(MemberStart, CandidateIsNotAnnouncedAsAccepted)
{
	Fleet f(3, 3);

	sim_run(f.s, 5 * S);
	f.s->fetch_us = 0;
	f.cut(2, 3, 1, 2, true);
	sim_start(f.s, 2, f.config[3]);
	sim_run(f.s, 5 * S);
	struct sim_node *n = &f.s->nodes[0];

	// Host 2 receives only from host 0, with evidence of host 1.
	EXPECT_EQ(3u, f.in_force(2));
	EXPECT_EQ(3u, bb_member_highest_version(n->m));

	f.cut(2, 3, 0, 2, true);
	sim_run(f.s, 5 * S);
	sim_start(f.s, 2, f.config[4]);
	sim_block(f.s, 2, 3, 0, 2, false);
	sim_run(f.s, 5 * S);
	EXPECT_EQ(0u, f.in_force(2));
	EXPECT_EQ(3u, bb_member_highest_version(n->m));
	EXPECT_FALSE(bb_member_alive(n->m, 2, sim_clock(n)));
}

// Guards against a fleet that puts no version in force when all nodes start at
// once, and against one that puts an older version in force than the newest
// that any node has read.
TEST(MemberStart, WholeFleetStarts)
{
	for (uint32_t nr : { 1u, 2u, 3u, 5u, 60u }) {
		Fleet f(nr, nr);

		f.s->fetch_us = 400000;
		sim_start(f.s, nr - 1, f.config[2]);
		// Delays its requests, so that the others have all evidence
		// first.
		f.s->nodes[nr - 1].next_us += S;
		for (int t = 0; t < 1000; t++) {
			sim_run(f.s, 10000);
			ASSERT_EQ(0u, f.count(1, 0, nr)) << nr;
		}
		EXPECT_EQ(nr, f.count(2, 0, nr));
		for (uint32_t i = 0; nr > 1 && i < nr; i++)
			EXPECT_TRUE(f.current(i)) << i << " of " << nr;
	}
}

// Guards against a wrong start of a fleet in which some hosts are down: with a
// quorum of running hosts a version comes in force after the freshness bound,
// without one it does not.
TEST(MemberStart, FleetStartsWithHostsDown)
{
	Fleet f(10, 4), below_quorum(10, 5);

	for (uint32_t i = 0; i < 4; i++)
		f.s->nodes[i].down = true;
	for (uint32_t i = 0; i < 5; i++)
		below_quorum.s->nodes[i].down = true;
	sim_run(f.s, 9 * S);
	EXPECT_EQ(0u, f.count(1, 0, 10));
	sim_run(f.s, 5 * S);
	EXPECT_EQ(6u, f.count(1, 0, 10));
	sim_run(below_quorum.s, 60 * S);
	EXPECT_EQ(0u, below_quorum.count(1, 0, 10));
	// Hosts that start later learn of the version from those running.
	for (uint32_t i = 0; i < 4; i++)
		sim_start(f.s, i, f.config[1]);
	sim_run(f.s, 5 * S);
	EXPECT_EQ(10u, f.count(1, 0, 10));
}

// Guards against two sides of a partition that both put a version in force.
TEST(MemberStart, FleetStartsInPartition)
{
	Fleet f(60, 6);

	f.cut(0, 40, 40, 60, true);
	sim_run(f.s, 30 * S);
	EXPECT_EQ(40u, f.count(1, 0, 40));
	EXPECT_EQ(0u, f.count(1, 40, 60));
	f.cut(0, 40, 40, 60, false);
	sim_run(f.s, 30 * S);
	EXPECT_EQ(60u, f.count(1, 0, 60));
}

// Guards against a fleet that never puts a version in force because of a
// candidate that no peer can deliver.
TEST(MemberStart, CandidateThatNoPeerHas)
{
	Fleet f(3, 7);

	f.s->fetch_us = 0;
	f.cut(0, 2, 2, 3, true);
	sim_start(f.s, 1, f.config[5]);
	sim_run(f.s, S);
	EXPECT_EQ(0u, f.count(1, 0, 3));
	f.s->nodes[1].down = true;
	f.cut(0, 2, 2, 3, false);
	sim_run(f.s, 15 * S);
	EXPECT_EQ(1u, f.in_force(0));
	EXPECT_EQ(1u, f.in_force(2));
}

// Guards against a slow restart in a large fleet.
TEST(MemberStart, RestartInALargeFleet)
{
	Fleet f(200, 8);

	sim_run(f.s, 10 * S);
	ASSERT_EQ(200u, f.count(1, 0, 200));
	for (uint32_t i = 0; i < 10; i++)
		sim_start(f.s, i, f.config[1]);
	sim_run(f.s, 10 * S);
	EXPECT_EQ(200u, f.count(1, 0, 200));
}

// One node at a time is restarted with the oldest version while links are cut
// and restored and versions are published, each at one node. Guards against
// any order of these events in which a node puts a version in force below one
// that a quorum had in force when the node started.
TEST(MemberStart, NoVersionRevertsAfterSingleRestarts)
{
	uint32_t restarts = 0, held_back = 0;

	for (uint32_t seed = 1; seed <= 40; seed++) {
		uint32_t nr = 3 + seed % 5, down = nr;
		uint64_t min_version = 0, next = 2;
		Fleet f(nr, seed);
		GRand *r = g_rand_new_with_seed(seed);

		sim_run(f.s, 5 * S);
		for (int t = 0; t < 150; t++) {
			uint32_t a = g_rand_int_range(r, 0, nr);
			uint32_t b = g_rand_int_range(r, 0, nr);

			f.cut(a, a + 1, b, b + 1,
			      g_rand_int_range(r, 0, 5) < 3);
			if (t % 30 == 29 && next < 6 && f.in_force(a)) {
				f.s->newest = f.config[next];
				sim_accept(&f.s->nodes[a], f.config[next++]);
			}
			if (down == nr && t % 5 == 0) {
				down = b;
				for (uint64_t v = 1; v < next; v++) {
					uint32_t have = 0;

					for (uint32_t i = 0; i < nr; i++)
						have += f.in_force(i) >= v;
					if (have >= bb_member_quorum_size(nr))
						min_version = v;
				}
				sim_start(f.s, b, f.config[1]);
				restarts++;
			}
			sim_run(f.s, S / 2);
			if (down < nr && f.in_force(down)) {
				ASSERT_GE(f.in_force(down), min_version)
					<< "seed " << seed << " step " << t;
				down = nr;
			} else if (down < nr) {
				held_back++;
			}
		}
		g_rand_free(r);
	}
	// The run must include restarts, and starts that had to wait.
	EXPECT_GT(restarts, 200u);
	EXPECT_GT(held_back, 200u);
}

// Publication of configurations to the threads that read them.
#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "config_fixture.h"
#include "held_up.h"

extern "C" {
#include "libnode/snapshot.h"
}

namespace
{
struct bb_config *version(uint64_t n)
{
	struct bb_config *c = parse(Document().json()).release();

	c->version = n;
	return c;
}

// Guards against a control thread that uses a core while a reader is held up
// with the former snapshot, and against a snapshot that is freed under one.
TEST(Snapshot, SwapDoesNotSpinWhileAReaderIsHeldUp)
{
	struct bb_snapshots *s = bb_snapshots_new("h1");
	std::vector<struct bb_config *> next;
	uint64_t reads = 0;
	double longest_ms;
	size_t used = 0;

	// Made before, since their making is no wait.
	for (uint64_t n = 1; n <= 4000; n++)
		next.push_back(version(n));
	bb_snapshots_swap(s, next[used++]);
	longest_ms = held_up::longest_wait_ms(
		[&] {
			struct bb_snapshot *got = bb_snapshots_get(s);

			reads += got->config->version > 0;
			bb_snapshot_put(got);
		},
		[&] {
			usleep(200);
			if (used < next.size())
				bb_snapshots_swap(s, next[used++]);
		});
	EXPECT_LT(longest_ms, held_up::WAIT_MAX_MS);
	EXPECT_GT(used, 1000u);
	EXPECT_GT(reads, 1000u);
	for (size_t i = used; i < next.size(); i++)
		bb_config_delete(next[i]);
	bb_snapshots_delete(s);
}

// The memory of replaced configurations is given back without a further change.
TEST(Snapshot, ReplacedSnapshotsAreReleased)
{
	struct bb_snapshots *s = bb_snapshots_new("h1");
	struct bb_snapshot *kept;

	bb_snapshots_swap(s, version(1));
	kept = bb_snapshots_get(s);
	bb_snapshots_swap(s, version(2));
	bb_snapshots_swap(s, version(3));
	for (int i = 0; i < 3; i++)
		bb_snapshots_reclaim(s);
	EXPECT_FALSE(bb_snapshots_reclaim(s));
	EXPECT_EQ(1, kept->refs);
	EXPECT_EQ(1u, kept->config->version);
	bb_snapshot_put(kept);
	bb_snapshots_delete(s);
}
} // namespace

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

// A control thread that publishes versions while a reader is held up again and
// again.
struct Publishing {
	struct bb_snapshots *s = bb_snapshots_new("h1");
	std::vector<struct bb_config *> next;
	std::vector<struct bb_snapshot *> kept;
	size_t used = 0;
	uint64_t reads = 0;

	Publishing()
	{
		// Made before, since their making is no wait.
		for (uint64_t n = 1; n <= 4000; n++)
			next.push_back(version(n));
		bb_snapshots_swap(s, next[used++]);
	}
	~Publishing()
	{
		for (struct bb_snapshot *k : kept)
			bb_snapshot_put(k);
		for (size_t i = used; i < next.size(); i++)
			bb_config_delete(next[i]);
		bb_snapshots_delete(s);
	}
	// Returns the longest wait as held_up::longest_wait_ms() does. With @keep,
	// former snapshots are freed at the end only.
	double run(bool keep)
	{
		return held_up::longest_wait_ms(
			[&] {
				struct bb_snapshot *got = bb_snapshots_get(s);

				reads += got->config->version > 0;
				bb_snapshot_put(got);
			},
			[&] {
				usleep(200);
				if (used == next.size())
					return;
				if (keep)
					kept.push_back(bb_snapshots_get(s));
				bb_snapshots_swap(s, next[used++]);
			});
	}
};

// Guards against a control thread that uses a core while a reader is held up
// with the former snapshot. Snapshots that pile up meanwhile are kept, because
// freeing them is no wait, and takes longer with AddressSanitizer.
TEST(Snapshot, SwapDoesNotSpinWhileAReaderIsHeldUp)
{
	Publishing p;

	EXPECT_LT(p.run(true), held_up::WAIT_MAX_MS);
	EXPECT_GT(p.used, 1000u);
	EXPECT_GT(p.reads, 1000u);
}

// Guards against a snapshot that is freed under a reader that is held up.
TEST(Snapshot, IsNotFreedUnderAReaderThatIsHeldUp)
{
	Publishing p;

	p.run(false);
	EXPECT_GT(p.used, 1000u);
	EXPECT_GT(p.reads, 1000u);
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

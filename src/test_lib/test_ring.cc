// Bounded queue of pointers from several threads to one.
#include <gtest/gtest.h>

#include "held_up.h"

extern "C" {
#include "libcore/ring.h"
}

namespace
{
// Guards against a thread that uses a core while it waits for another one that
// was held up in the middle of a push.
TEST(Ring, PushDoesNotSpinWhileAnotherThreadIsHeldUp)
{
	struct bb_ring *r = bb_ring_new(1024);
	std::atomic<bool> stop{ false };
	uint64_t popped = 0, pushed[2] = { 0 };
	double longest_ms;
	int waits;

	std::thread consumer([&] {
		void *entry;
		bool last;

		do {
			last = stop;
			while (bb_ring_pop(r, &entry))
				popped++;
		} while (!last);
	});
	longest_ms = held_up::longest_wait_ms(
		[&] { pushed[0] += bb_ring_push(r, r); },
		[&] { pushed[1] += bb_ring_push(r, r); }, &waits);

	stop = true;
	consumer.join();
	EXPECT_LT(longest_ms, held_up::WAIT_MAX_MS);
	// Else nothing was tested.
	EXPECT_GT(waits, 0);
	EXPECT_GT(pushed[0], 1000u);
	EXPECT_GT(pushed[1], 1000u);
	EXPECT_EQ(pushed[0] + pushed[1], popped);
	bb_ring_delete(r);
}

TEST(Ring, FullRingRefusesUntilOneIsTaken)
{
	struct bb_ring *r = bb_ring_new(4);
	int a, b, c;
	void *entry;

	EXPECT_FALSE(bb_ring_pop(r, &entry));
	EXPECT_TRUE(bb_ring_push(r, &a));
	EXPECT_TRUE(bb_ring_push(r, &b));
	EXPECT_TRUE(bb_ring_push(r, &c));
	EXPECT_FALSE(bb_ring_push(r, &a));
	EXPECT_EQ(3u, bb_ring_length(r));
	ASSERT_TRUE(bb_ring_pop(r, &entry));
	EXPECT_EQ(&a, entry);
	EXPECT_TRUE(bb_ring_push(r, &a));
	ASSERT_TRUE(bb_ring_pop(r, &entry));
	EXPECT_EQ(&b, entry);
	bb_ring_delete(r);
}
} // namespace

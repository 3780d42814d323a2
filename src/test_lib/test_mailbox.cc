// Queues of pointers from any thread to one that runs a main loop.
#include <gtest/gtest.h>
#include <cstdint>

extern "C" {
#include "libnode/loop.h"
#include "libnode/mailbox.h"
}

namespace
{
void count(void *data, void *entry)
{
	(void)entry;
	(*(uint64_t *)data)++;
}

TEST(Mailbox, FullMailboxRefusesUntilItIsDrained)
{
	struct bb_mailbox *m = bb_mailbox_new(8, NULL);
	GMainContext *context = bb_loop_new();
	uint64_t received = 0;
	unsigned int taken = 0;

	bb_mailbox_attach(m, context, count, &received);
	while (bb_mailbox_push(m, m))
		taken++;
	EXPECT_EQ(7u, taken);
	EXPECT_TRUE(g_main_context_iteration(context, FALSE));
	EXPECT_EQ(taken, received);
	EXPECT_TRUE(bb_mailbox_push(m, m));
	bb_mailbox_drain(m);
	bb_mailbox_delete(m);
	g_main_context_unref(context);
}
} // namespace

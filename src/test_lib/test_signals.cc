// Signals of the process in a main loop.
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>
#include <thread>
#include <vector>

extern "C" {
#include "libnode/loop.h"
#include "libnode/signals.h"
}

namespace
{
void keep(void *data, int number)
{
	((std::vector<int> *)data)->push_back(number);
}

// Guards against a node that is ended by a SIGHUP that arrives while it starts.
TEST(Signals, SignalBeforeTheLoopIsKeptForIt)
{
	GMainContext *context = bb_loop_new();
	std::vector<int> received;
	struct bb_signals *s;

	bb_signals_block();
	kill(getpid(), SIGHUP);
	s = bb_signals_new(context, keep, &received, NULL);
	ASSERT_NE(nullptr, s);
	EXPECT_TRUE(g_main_context_iteration(context, FALSE));
	EXPECT_EQ(std::vector<int>{ SIGHUP }, received);
	EXPECT_FALSE(g_main_context_iteration(context, FALSE));
	bb_signals_delete(s);
	g_main_context_unref(context);
}

// A signal is not taken by another thread, whose system call would end early.
TEST(Signals, OtherThreadsAreNotInterrupted)
{
	GMainContext *context = bb_loop_new();
	std::vector<int> received;
	unsigned int left_s = 0;
	struct bb_signals *s;

	bb_signals_block();
	s = bb_signals_new(context, keep, &received, NULL);
	ASSERT_NE(nullptr, s);
	std::thread other([&] { left_s = sleep(1); });
	for (int i = 0; i < 100; i++) {
		kill(getpid(), i % 2 ? SIGHUP : SIGTERM);
		usleep(1000);
		while (g_main_context_iteration(context, FALSE))
			;
	}
	other.join();
	EXPECT_EQ(0u, left_s);
	EXPECT_EQ(100u, received.size());
	bb_signals_delete(s);
	g_main_context_unref(context);
}
} // namespace

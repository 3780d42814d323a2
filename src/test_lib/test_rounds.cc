// Rounds of the loops of threads: what is counted, and what is logged of a
// thread that goes on without waiting.
#include <gtest/gtest.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <algorithm>
#include <atomic>
#include <cstring>
#include <string>
#include <thread>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "baobabward/rounds.h"

extern "C" {
#include "libnode/loop.h"
}

namespace
{
const int64_t SECOND = BB_US_PER_S;

std::string log_lines;

GLogWriterOutput keep_line(GLogLevelFlags, const GLogField *fields, gsize nr,
			   gpointer)
{
	for (gsize i = 0; i < nr; i++)
		if (!strcmp(fields[i].key, "MESSAGE") ||
		    !strcmp(fields[i].key, "BB_EVENT"))
			log_lines +=
				std::string((const char *)fields[i].value) +
				" ";
	log_lines += "\n";
	return G_LOG_WRITER_HANDLED;
}

class Rounds : public ::testing::Test
{
      protected:
	static void SetUpTestSuite()
	{
		g_log_set_writer_func(keep_line, NULL, NULL);
	}

	void SetUp() override
	{
		log_lines.clear();
	}

	// One round that handles @source and did not wait before.
	void busy(const char *source, int64_t now_us)
	{
		bb_rounds_note(source);
		bb_rounds_end(false, now_us);
	}
};

// Guards against a busy thread that no log line names.
TEST_F(Rounds, ThreadThatDoesNotWaitIsLoggedWithItsSource)
{
	int64_t now = 100 * SECOND;

	bb_rounds_begin(BB_THREAD_TRAFFIC);
	bb_rounds_end(true, now);
	for (int i = 0; i < 2000; i++) {
		now += 1000;
		if (i % 3 == 0)
			bb_rounds_note("b.c:on_event");
		busy("a.c:on_timer", now);
	}
	EXPECT_EQ("thread=traffic window_ms=1000 unwaited=1000 waited=1 "
		  "source=a.c:on_timer handled=1000 busy_thread \n",
		  log_lines);
	EXPECT_EQ(2 * SECOND, bb_rounds_busy_us(BB_THREAD_TRAFFIC));
	EXPECT_EQ(2000u, bb_rounds_total(BB_THREAD_TRAFFIC, false));
	EXPECT_EQ(1u, bb_rounds_total(BB_THREAD_TRAFFIC, true));
}

// A loaded thread has many rounds without a wait, and waits in between.
TEST_F(Rounds, ThreadThatWaitsNowAndThenIsNotBusy)
{
	int64_t now = 100 * SECOND;
	int64_t before = bb_rounds_busy_us(BB_THREAD_ACCEPT);

	bb_rounds_begin(BB_THREAD_ACCEPT);
	for (int i = 0; i < 1000; i++) {
		for (int j = 0; j < 18; j++)
			busy("a.c:on_timer", now += 100);
		bb_rounds_end(true, now += 100);
	}
	EXPECT_EQ("", log_lines);
	EXPECT_EQ(before, bb_rounds_busy_us(BB_THREAD_ACCEPT));
}

// The log of a thread that is busy for a minute stays short.
TEST_F(Rounds, BusyThreadIsLoggedEveryFiveSeconds)
{
	int64_t now = 100 * SECOND;

	bb_rounds_begin(BB_THREAD_ACCEPT);
	bb_rounds_end(true, now);
	for (int i = 0; i < 60000; i++)
		busy("a.c:on_timer", now += 1000);
	EXPECT_EQ(12, std::count(log_lines.begin(), log_lines.end(), '\n'));
}

// A descriptor that stays ready because nobody reads it.
TEST_F(Rounds, DescriptorThatNobodyReadsIsNamed)
{
	std::thread([] {
		GMainContext *context = bb_loop_new();
		int fd = eventfd(1, 0);
		auto on_ready = [](gint, GIOCondition, gpointer) -> gboolean {
			return G_SOURCE_CONTINUE;
		};
		GSource *s = bb_loop_add_named_fd(
			context, fd, G_IO_IN, on_ready, NULL, "test:unread");
		int64_t until = bb_clock_now_us() + 2500 * BB_US_PER_MS;

		bb_rounds_begin(BB_THREAD_CONTROL);
		while (bb_clock_now_us() < until)
			g_main_context_iteration(context, TRUE);
		bb_loop_remove(&s);
		g_main_context_unref(context);
		close(fd);
	}).join();
	EXPECT_NE(std::string::npos, log_lines.find("thread=control"));
	EXPECT_NE(std::string::npos, log_lines.find("busy_thread"));
	EXPECT_NE(std::string::npos, log_lines.find("source=test:unread"));
}

TEST_F(Rounds, MetricsNameTheThread)
{
	char *text = bb_metrics_text();

	EXPECT_NE(nullptr, strstr(text, "baobabward_loop_rounds_total{thread="
					"\"accept\",waited=\"no\"} "));
	EXPECT_NE(nullptr,
		  strstr(text, "baobabward_loop_busy_seconds_total{thread="
			       "\"control\"} "));
	g_free(text);
}

// Guards against a busy thread of a library that no metric names.
TEST_F(Rounds, ProcessorTimeIsTheThreadsOwn)
{
	std::atomic<bool> stop{ false };
	std::thread busy_thread([&] {
		pthread_setname_np(pthread_self(), "busy (lib)");
		while (!stop)
			;
	});
	const char *line, *name = "baobabward_thread_cpu_seconds_total"
				  "{thread=\"busy__lib_\"} ";
	struct timespec used = {};
	clockid_t clock;
	char *text;

	// On a busy machine the thread gets a small part of a core.
	ASSERT_EQ(0,
		  pthread_getcpuclockid(busy_thread.native_handle(), &clock));
	while (!used.tv_sec && used.tv_nsec < 200000000) {
		usleep(10000);
		ASSERT_EQ(0, clock_gettime(clock, &used));
	}
	text = bb_metrics_text();
	stop = true;
	busy_thread.join();
	line = strstr(text, name);
	ASSERT_NE(nullptr, line);
	EXPECT_GT(strtod(line + strlen(name), NULL), 0.1);
	g_free(text);
}

// A thread that is not one of the loops, such as one of a library, is not
// mixed up with them.
TEST_F(Rounds, OtherThreadsCountNothing)
{
	uint64_t before = bb_rounds_total(BB_THREAD_CONTROL, false);

	std::thread([] {
		bb_rounds_note("x");
		bb_rounds_end(false, 1);
	}).join();
	EXPECT_EQ(before, bb_rounds_total(BB_THREAD_CONTROL, false));
}
} // namespace

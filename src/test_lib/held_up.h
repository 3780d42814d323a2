// A thread that is held up at any point of what it does, as when the kernel
// takes its core away.
#ifndef TEST_LIB_HELD_UP_H
#define TEST_LIB_HELD_UP_H

#include <pthread.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>
#include <algorithm>
#include <atomic>
#include <functional>
#include <random>
#include <thread>

namespace held_up
{
const int HOLD_MS = 5;
const int HOLDS = 300;
// A call that does not spin uses less processor time, one that spins until the
// other thread goes on uses up to HOLD_MS.
const double CALL_MAX_MS = 2;

inline double thread_cpu_ms()
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

inline void hold(int)
{
	struct timespec ts = { 0, HOLD_MS * 1000000 };

	nanosleep(&ts, NULL);
}

// Calls @held again and again in a thread that is held up HOLDS times, and
// @call in this thread meanwhile. Returns the most processor time, in
// milliseconds, that one @call used.
inline double longest_call_ms(const std::function<void()> &held,
			      const std::function<void()> &call)
{
	std::atomic<bool> stop{ false };
	double longest_ms = 0;

	signal(SIGUSR1, hold);
	std::thread other([&] {
		while (!stop)
			held();
	});
	std::thread holder([&] {
		std::mt19937 random(1);

		for (int i = 0; i < HOLDS; i++) {
			usleep(random() % 1000 + HOLD_MS * 1000);
			pthread_kill(other.native_handle(), SIGUSR1);
		}
		stop = true;
	});
	while (!stop) {
		double before_ms = thread_cpu_ms();

		call();
		longest_ms = std::max(longest_ms, thread_cpu_ms() - before_ms);
	}
	holder.join();
	other.join();
	signal(SIGUSR1, SIG_DFL);
	return longest_ms;
}
} // namespace held_up
#endif

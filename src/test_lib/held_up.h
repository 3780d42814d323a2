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
// A thread that waits for the one that is held up uses less processor time if it
// does not spin, and up to HOLD_MS if it does.
const double WAIT_MAX_MS = 2;

inline double cpu_ms(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

// What the handler that holds a thread up knows of the other one.
struct Waiter {
	clockid_t clock;
	std::atomic<uint64_t> calls{ 0 };
	std::atomic<int> waits{ 0 };
	std::atomic<double> longest_ms{ 0 };
};

inline Waiter *waiter;

// The other thread waits if it completes no more than the call that it had begun.
inline void hold(int)
{
	struct timespec ts = { 0, HOLD_MS * 1000000 };
	uint64_t calls = waiter->calls;
	double before_ms = cpu_ms(waiter->clock), used_ms;

	nanosleep(&ts, NULL);
	used_ms = cpu_ms(waiter->clock) - before_ms;
	if (waiter->calls - calls > 1)
		return;
	waiter->waits++;
	waiter->longest_ms = std::max((double)waiter->longest_ms, used_ms);
}

// Calls @held again and again in a thread that is held up HOLDS times, and
// @call in this thread meanwhile. Returns the most processor time, in
// milliseconds, that this thread used while the other one was held up and kept
// it from going on. Sets @waits, unless NULL, to the number of such times.
inline double longest_wait_ms(const std::function<void()> &held,
			      const std::function<void()> &call,
			      int *waits = NULL)
{
	std::atomic<bool> stop{ false };
	Waiter w;

	pthread_getcpuclockid(pthread_self(), &w.clock);
	waiter = &w;
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
		call();
		w.calls++;
	}
	holder.join();
	other.join();
	signal(SIGUSR1, SIG_DFL);
	if (waits)
		*waits = w.waits;
	return w.longest_ms;
}
} // namespace held_up
#endif

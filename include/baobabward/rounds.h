/*
 * Rounds of the loops of this process's threads. A round that does not wait
 * found work at once; a thread that goes on so for long uses a core. Each loop
 * counts its rounds and names what they handled, so that metrics and the log
 * tell which thread goes on without waiting, and for what.
 *
 * Order of calls on a thread: bb_rounds_begin() once, then for each round
 * bb_rounds_poll(), and bb_rounds_note() for whatever it handles. A thread
 * without bb_rounds_begin() counts nothing.
 */
#ifndef BAOBABWARD_ROUNDS_H
#define BAOBABWARD_ROUNDS_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum bb_thread - a thread with a loop of our own.
 * @BB_THREAD_CONTROL: configuration, membership, limits, health
 * @BB_THREAD_TRAFFIC: requests between nodes and to backend servers
 * @BB_THREAD_ACCEPT: new connections of callers
 */
enum bb_thread {
	BB_THREAD_CONTROL,
	BB_THREAD_TRAFFIC,
	BB_THREAD_ACCEPT,
	BB_THREAD_COUNT
};

/* Name of each thread in logs and metrics, indexed by enum bb_thread. */
extern const char *const bb_thread_string[];

/**
 * bb_rounds_begin() - make the calling thread count its rounds.
 * @thread: which loop it runs; only one thread at a time may run it
 */
void bb_rounds_begin(enum bb_thread thread);

/**
 * bb_rounds_note() - name what the current round handles.
 * @source: string that stays valid
 */
void bb_rounds_note(const char *source);

/**
 * bb_rounds_poll() - poll(), and bb_rounds_end() by the time it takes.
 * @fds: as for poll()
 * @nr: number of @fds
 * @timeout_ms: as for poll(); -1 for no limit
 *
 * Return: as poll(), with errno set.
 */
int bb_rounds_poll(struct pollfd *fds, nfds_t nr, int timeout_ms);

/**
 * bb_rounds_end() - count the round and begin the next one.
 * @waited: the thread waited for events before it handles the next ones
 * @now_us: current time
 *
 * Rounds are judged a second at a time. A thread that hardly waited in that time
 * and had many rounds is busy; event=busy_thread is logged then, and every fifth
 * second while it goes on.
 */
void bb_rounds_end(bool waited, int64_t now_us);

/**
 * bb_rounds_total() - number of rounds; safe from any thread.
 * @thread: the loop
 * @waited: count the rounds that waited, or those that did not
 *
 * Return: rounds since the start of the process.
 */
uint64_t bb_rounds_total(enum bb_thread thread, bool waited);

/**
 * bb_rounds_busy_us() - time for which a thread was busy; safe from any thread.
 * @thread: the loop
 *
 * Return: microseconds since the start of the process.
 */
int64_t bb_rounds_busy_us(enum bb_thread thread);

#ifdef __cplusplus
}
#endif
#endif

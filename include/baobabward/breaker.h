/*
 * Circuit breaker of one backend server, kept by its adjacent node.
 *
 * Load pattern: a backend server that fails most requests for some seconds
 * answers them at once, so that it looks idle and attracts the requests of all
 * entry nodes. The first failure therefore opens the breaker for a short time;
 * then one request at a time is admitted as a trial, and each further failure
 * doubles the time up to a bound. Ejection works on longer evidence and within
 * the floor; the breaker only redirects, and a request for which nothing else
 * is left is admitted in spite of it.
 *
 * Pure; times are microseconds of the caller's monotonic clock. One thread.
 */
#ifndef BAOBABWARD_BREAKER_H
#define BAOBABWARD_BREAKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_breaker - state; all zero is closed.
 * @open_until_us: no request before, when @failures is not 0
 * @failures: failures in a row, 0 when closed
 * @trial_running: a trial is under way
 * @trial_started_us: when it began
 * @last_failure_us: when the last failure was noted
 */
struct bb_breaker {
	int64_t open_until_us;
	uint32_t failures;
	bool trial_running;
	int64_t trial_started_us;
	int64_t last_failure_us;
};

/**
 * bb_breaker_admit() - whether a request may go to the backend server.
 * @b: breaker
 * @idempotent: it can be repeated elsewhere, so that it serves as a trial first
 * @last_resort: nothing else is left for it
 * @now_us: current time
 *
 * Return: true if it may; it may be the trial then.
 */
bool bb_breaker_admit(struct bb_breaker *b, bool idempotent, bool last_resort,
		      int64_t now_us);

/**
 * bb_breaker_succeeded() - the backend server answered a request.
 * @b: breaker
 * @started_us: when the request was sent; one that was sent before the last
 *              failure says nothing of the time since
 */
void bb_breaker_succeeded(struct bb_breaker *b, int64_t started_us);

/**
 * bb_breaker_failed() - a request failed by the backend server's fault.
 * @b: breaker
 * @started_us: when the request was sent
 * @now_us: current time
 *
 * Failures of requests that were sent before the breaker opened count once.
 */
void bb_breaker_failed(struct bb_breaker *b, int64_t started_us,
		       int64_t now_us);

/**
 * bb_breaker_is_stalled() - whether running requests show that the backend
 * server hangs, before their deadlines do.
 * @ages_us: how long each has been running
 * @nr: number of @ages_us
 * @service_us: mean time for which a request runs
 * @quiet_us: time since the last answer
 *
 * Return: true if several run for far longer than usual, or one does and
 * nothing was answered meanwhile.
 */
bool bb_breaker_is_stalled(const int64_t *ages_us, size_t nr,
			   int64_t service_us, int64_t quiet_us);

/**
 * bb_breaker_open_us() - time for which entry nodes should choose others.
 *
 * Return: 0 if it is closed or a trial is wanted.
 */
int64_t bb_breaker_open_us(const struct bb_breaker *b, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif

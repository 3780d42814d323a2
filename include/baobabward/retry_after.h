/*
 * Time after which a caller that was refused should return (Retry-After).
 *
 * The load pattern: many callers are refused within a short time, for example
 * while a backend server has too little capacity. With the same time for all of
 * them they return together and are refused again. Each refusal therefore
 * promises a return at a time of its own: when capacity is expected, after the
 * returns that were promised before, at the rate at which requests were served
 * lately.
 *
 * Callers follow the time only up to a third of the time that they have left. A
 * return that would be promised later is spread around that time instead: a
 * caller that comes back as late as it can is refused least often.
 *
 * The functions do no I/O; times are microseconds of the caller's monotonic
 * clock. Not thread safe.
 */
#ifndef BAOBABWARD_RETRY_AFTER_H
#define BAOBABWARD_RETRY_AFTER_H

#include <stdint.h>

#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_returns - returns promised by one node for one priority of a service,
 * or for one client account. Zero it before first use.
 * @served: requests served lately, with exponential decay
 * @service_us: moving average of the time that a request took, 0 if unknown
 * @counted_us: time up to which @served has decayed
 * @next_us: time from which no return is promised yet
 */
struct bb_returns {
	double served;
	double service_us;
	int64_t counted_us;
	int64_t next_us;
};

/**
 * struct bb_refusal - what is known of a refused request.
 * @wait_us: time until capacity for it is expected
 * @left_us: time until its deadline
 * @random: random number from 0 to 1
 */
struct bb_refusal {
	int64_t wait_us;
	int64_t left_us;
	double random;
};

/**
 * bb_returns_served() - note that a request was served.
 * @r: returns of its service or account
 * @service_us: time that it took, 0 if unknown
 * @now_us: current time
 */
void bb_returns_served(struct bb_returns *r, int64_t service_us,
		       int64_t now_us);

/**
 * bb_returns_wait_us() - time until a backend server has worked off what waits
 * for it.
 * @r: returns of its service
 * @load: its last load, zeroed if unknown
 *
 * Return: time, 0 if nothing is known.
 */
int64_t bb_returns_wait_us(const struct bb_returns *r,
			   const struct bb_load *load);

/**
 * bb_returns_promise() - time after which a refused caller should return.
 * @r: returns of its service or account
 * @x: the refusal
 * @now_us: current time
 *
 * Return: time of at least BB_RETRY_AFTER_MIN_US.
 */
int64_t bb_returns_promise(struct bb_returns *r, const struct bb_refusal *x,
			   int64_t now_us);

/**
 * bb_retry_after_unavailable_us() - time after which a caller should return to a
 * node that cannot serve at all, for example because it stops.
 * @random: random number from 0 to 1
 */
int64_t bb_retry_after_unavailable_us(double random);

/* A few round trips. */
#define BB_RETRY_AFTER_MIN_US (20 * INT64_C(1000))

#ifdef __cplusplus
}
#endif
#endif

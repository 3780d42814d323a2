/*
 * Pace of the requests to one backend server: a token bucket for a backend
 * server that limits the rate at which it accepts requests.
 *
 * The adjacent node is the only sender of requests to a backend server, so the
 * limit holds for the whole fleet without an exchange between nodes. The rate
 * that is kept is the limit itself, with a burst of a fraction of a second.
 *
 * No I/O and no locks; a pace is used by one thread. Times are microseconds of
 * the caller's monotonic clock.
 */
#ifndef BAOBABWARD_PACE_H
#define BAOBABWARD_PACE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Lowest rate that is kept, in requests per second. A backend server tells only
 * in an answer that it accepts more, so that one with a limit of 0 gets a
 * request now and then. */
#define BB_PACE_RATE_MIN 0.5
/* Limits from here on are no limit: no backend server gets as many requests per
 * second from the whole fleet. */
#define BB_PACE_RATE_MAX 1e6

/**
 * struct bb_pace - state of one pace; all zero is unlimited.
 * @rate_per_s: requests per second, 0 for no limit
 * @tokens: requests that may be sent at @updated_us
 * @updated_us: time to which @tokens refers
 */
struct bb_pace {
	double rate_per_s;
	double tokens;
	int64_t updated_us;
};

/**
 * bb_pace_set() - set the limit.
 * @p: pace
 * @rate_per_s: requests per second that the backend server accepts; a rate
 *              below BB_PACE_RATE_MIN counts as that. Negative for no limit.
 * @now_us: current time
 *
 * A pace that begins has no tokens, because the requests before it were not
 * counted. A changed rate keeps the tokens up to its burst.
 */
void bb_pace_set(struct bb_pace *p, double rate_per_s, int64_t now_us);

/**
 * bb_pace_wait_us() - time until a request may be sent.
 * @p: pace
 * @ahead: requests that are sent before it
 * @now_us: current time
 *
 * Return: 0 if it may be sent now.
 */
int64_t bb_pace_wait_us(const struct bb_pace *p, uint32_t ahead,
			int64_t now_us);

/**
 * bb_pace_spend() - count a request that is sent now.
 * @p: pace
 * @now_us: current time
 */
void bb_pace_spend(struct bb_pace *p, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif

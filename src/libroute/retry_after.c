#include "baobabward/retry_after.h"

#include <glib.h>
#include <math.h>

#include "baobabward/clock.h"

/* Time constant of the count of served requests, some service times. */
#define COUNT_DECAY_US (4 * BB_US_PER_S)
/* Weight of a new measurement in the moving average of the time of a request. */
#define SERVICE_GAIN 0.125
/* Share of the served requests for which returns are promised. The rest of the
 * capacity is for requests that arrive for the first time. */
#define RETURN_SHARE 0.5
/* Bounds of the interval between two promised returns. The upper one applies
 * while nothing is served. */
#define INTERVAL_MIN_US (1 * BB_US_PER_MS)
#define INTERVAL_MAX_US (200 * BB_US_PER_MS)
/* Callers follow Retry-After up to this part of the time that they have left. */
#define LEFT_DIVISOR 3
/* Bound on an expected wait, longer than any deadline. What peers report of their
 * backend servers may have any value. */
#define WAIT_MAX_US (600 * BB_US_PER_S)
/* Mean time after which to return to a node that cannot serve. */
#define UNAVAILABLE_US (1 * BB_US_PER_S)

static void decay(struct bb_returns *r, int64_t now_us)
{
	if (now_us <= r->counted_us)
		return;
	r->served *= exp(-(double)(now_us - r->counted_us) / COUNT_DECAY_US);
	r->counted_us = now_us;
}

void bb_returns_served(struct bb_returns *r, int64_t service_us, int64_t now_us)
{
	decay(r, now_us);
	r->served += 1;
	if (service_us <= 0)
		return;
	if (r->service_us > 0)
		r->service_us +=
			SERVICE_GAIN * ((double)service_us - r->service_us);
	else
		r->service_us = (double)service_us;
}

int64_t bb_returns_wait_us(const struct bb_returns *r,
			   const struct bb_load *load)
{
	double slots = MAX(load->slots, 1);
	double work_us = load->work_us > 0 ? (double)load->work_us :
					     load->queued * r->service_us;

	return MAX((int64_t)fmin(work_us / slots, (double)WAIT_MAX_US),
		   MIN(load->avoid_for_us, WAIT_MAX_US));
}

static double interval_us(const struct bb_returns *r)
{
	double us = COUNT_DECAY_US / fmax(r->served * RETURN_SHARE, 1e-6);

	return CLAMP(us, (double)INTERVAL_MIN_US, (double)INTERVAL_MAX_US);
}

int64_t bb_returns_promise(struct bb_returns *r, const struct bb_refusal *x,
			   int64_t now_us)
{
	int64_t longest_us = x->left_us / LEFT_DIVISOR;
	int64_t delay_us, at_us;
	double interval;

	decay(r, now_us);
	interval = interval_us(r);
	at_us = MAX(now_us + MAX(x->wait_us, 0), r->next_us);
	if (at_us + (int64_t)interval - now_us > longest_us) {
		delay_us = (int64_t)((double)longest_us *
				     (0.75 + 0.5 * x->random));
	} else {
		r->next_us = at_us + (int64_t)interval;
		delay_us = at_us - now_us + (int64_t)(interval * x->random);
	}
	return MAX(delay_us, BB_RETRY_AFTER_MIN_US);
}

int64_t bb_retry_after_unavailable_us(double random)
{
	return (int64_t)(UNAVAILABLE_US * (0.5 + random));
}

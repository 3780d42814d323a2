#include "baobabward/pace.h"

#include <math.h>

#include "baobabward/clock.h"

/* Burst as the time in which it refills, and its least size in requests. With
 * it, at most 4.5 times the limit is sent in any 4 s. */
#define BURST_US (500 * BB_US_PER_MS)
#define BURST_MIN 1.0

static double burst(const struct bb_pace *p)
{
	return fmax(BURST_MIN,
		    p->rate_per_s * (double)BURST_US / (double)BB_US_PER_S);
}

static double tokens_at(const struct bb_pace *p, int64_t now_us)
{
	double elapsed_us = fmax(0, (double)(now_us - p->updated_us));

	return fmin(burst(p), p->tokens + elapsed_us * p->rate_per_s /
						  (double)BB_US_PER_S);
}

void bb_pace_set(struct bb_pace *p, double rate_per_s, int64_t now_us)
{
	double tokens = p->rate_per_s > 0 ? tokens_at(p, now_us) : 0;

	if (!(rate_per_s >= 0) || rate_per_s >= BB_PACE_RATE_MAX) {
		*p = (struct bb_pace){ 0 };
		return;
	}
	p->rate_per_s = fmax(rate_per_s, BB_PACE_RATE_MIN);
	p->tokens = fmin(tokens, burst(p));
	p->updated_us = now_us;
}

int64_t bb_pace_wait_us(const struct bb_pace *p, uint32_t ahead, int64_t now_us)
{
	double missing;

	if (!(p->rate_per_s > 0))
		return 0;
	missing = 1.0 + ahead - tokens_at(p, now_us);
	if (missing <= 0)
		return 0;
	return (int64_t)ceil(missing * (double)BB_US_PER_S / p->rate_per_s);
}

void bb_pace_spend(struct bb_pace *p, int64_t now_us)
{
	if (!(p->rate_per_s > 0))
		return;
	p->tokens = tokens_at(p, now_us) - 1;
	p->updated_us = now_us;
}

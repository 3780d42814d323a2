#include "baobabward/breaker.h"

#include "baobabward/clock.h"

/*
 * Time for which the first failure opens it. One failure may be chance, so that
 * a sound backend server with 4 requests a second misses about one of them.
 */
#define OPEN_LEAST_US (400 * BB_US_PER_MS)
/* Longest time between two trials; a failing spell lasts some seconds. */
#define OPEN_MOST_US (2 * BB_US_PER_S)
/* After this time any request is taken as a trial, not only idempotent ones. */
#define IDEMPOTENT_ONLY_US (1500 * BB_US_PER_MS)
/* A trial without an outcome no longer keeps others away after this time. */
#define TRIAL_US (2 * BB_US_PER_S)

/* Times the mean after which a running request counts as hanging; one in a
 * hundred sound requests takes as long. */
#define STALL_FACTOR 3
/* Least such time, for backend servers that answer fast. */
#define STALL_LEAST_US (500 * BB_US_PER_MS)

bool bb_breaker_is_stalled(const int64_t *ages_us, size_t nr,
			   int64_t service_us, int64_t quiet_us)
{
	int64_t limit_us = STALL_FACTOR * service_us;
	size_t old = 0;

	if (limit_us < STALL_LEAST_US)
		limit_us = STALL_LEAST_US;
	for (size_t i = 0; i < nr; i++)
		old += ages_us[i] >= limit_us;
	return old > 1 || (old && quiet_us >= limit_us);
}

static bool trial_runs(const struct bb_breaker *b, int64_t now_us)
{
	return b->trial_running && now_us - b->trial_started_us < TRIAL_US;
}

bool bb_breaker_admit(struct bb_breaker *b, bool idempotent, bool last_resort,
		      int64_t now_us)
{
	if (!b->failures || last_resort)
		return true;
	if (now_us < b->open_until_us || trial_runs(b, now_us))
		return false;
	/* The first failure may have been chance. */
	if (!idempotent && b->failures > 1 &&
	    now_us < b->open_until_us + IDEMPOTENT_ONLY_US)
		return false;
	b->trial_running = true;
	b->trial_started_us = now_us;
	return true;
}

void bb_breaker_succeeded(struct bb_breaker *b, int64_t started_us)
{
	if (b->failures && started_us < b->last_failure_us)
		return;
	b->failures = 0;
	b->trial_running = false;
}

void bb_breaker_failed(struct bb_breaker *b, int64_t started_us, int64_t now_us)
{
	int64_t open_us = OPEN_LEAST_US;

	/* Sent before it opened: that failure has been counted. */
	if (b->failures && !b->trial_running && started_us < b->open_until_us)
		return;
	for (uint32_t i = 0; i < b->failures && open_us < OPEN_MOST_US; i++)
		open_us *= 2;
	b->open_until_us =
		now_us + (open_us < OPEN_MOST_US ? open_us : OPEN_MOST_US);
	b->failures++;
	b->last_failure_us = now_us;
	b->trial_running = false;
}

int64_t bb_breaker_open_us(const struct bb_breaker *b, int64_t now_us)
{
	if (!b->failures || now_us >= b->open_until_us)
		return 0;
	return b->open_until_us - now_us;
}

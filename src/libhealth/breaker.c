#include "baobabward/breaker.h"

#include "baobabward/clock.h"

/*
 * Open time after the first failure. That failure may be chance: a healthy
 * backend server with 4 requests a second then misses about one request.
 */
#define OPEN_MIN_US (400 * BB_US_PER_MS)
/* Longest open time between two trials; a failure period lasts some seconds. */
#define OPEN_MAX_US (2 * BB_US_PER_S)
/*
 * Time after the end of the open time during which only idempotent requests
 * serve as trials; afterwards any request does.
 */
#define IDEMPOTENT_ONLY_US (1500 * BB_US_PER_MS)
/*
 * The same two bounds where nodes report the state of their backend servers. A
 * backend server must get requests again within 2 s after its failure period,
 * also if there are no idempotent requests. Trials that fail are sent again, so
 * that more of them cost less than sound servers that stand idle: with 1.6 s, a
 * pool at 85% of its capacity had three times as many late requests.
 */
#define REPORTED_OPEN_MAX_US (800 * BB_US_PER_MS)
#define REPORTED_IDEMPOTENT_ONLY_US (1000 * BB_US_PER_MS)
/* Time for which requests go elsewhere while a trial runs. */
#define TRIAL_HINT_US (100 * BB_US_PER_MS)
/* Time since the last failure within which a new failure belongs to the same
 * failure period. */
#define SAME_PERIOD_US (2 * BB_US_PER_S)
/* A trial without an outcome blocks other requests for at most this time. */
#define TRIAL_TIMEOUT_US (2 * BB_US_PER_S)

/*
 * Multiple of the mean service time after which a running request counts as
 * hanging; one in a hundred requests of a healthy backend server takes as long.
 */
#define STALL_FACTOR 3
/* Lower bound of that time, for backend servers that answer fast. */
#define STALL_MIN_US (500 * BB_US_PER_MS)

bool bb_breaker_is_stalled(const int64_t *ages_us, size_t nr,
			   int64_t service_us, int64_t since_response_us)
{
	int64_t limit_us = STALL_FACTOR * service_us;
	size_t old = 0;

	if (limit_us < STALL_MIN_US)
		limit_us = STALL_MIN_US;
	for (size_t i = 0; i < nr; i++)
		old += ages_us[i] >= limit_us;
	return old > 1 || (old && since_response_us >= limit_us);
}

static bool trial_is_running(const struct bb_breaker *b, int64_t now_us)
{
	return b->trial_running &&
	       now_us - b->trial_started_us < TRIAL_TIMEOUT_US;
}

/* Whether only idempotent requests serve as trials. */
static bool is_idempotent_only(const struct bb_breaker *b, int64_t now_us)
{
	if (b->reported)
		return now_us < b->open_until_us + REPORTED_IDEMPOTENT_ONLY_US;
	/* After one failure, which may be chance, any request is a trial. */
	return b->failures > 1 &&
	       now_us < b->open_until_us + IDEMPOTENT_ONLY_US;
}

bool bb_breaker_admit(struct bb_breaker *b, bool idempotent, bool last_resort,
		      int64_t now_us)
{
	if (!b->failures || last_resort)
		return true;
	if (now_us < b->open_until_us || trial_is_running(b, now_us))
		return false;
	if (!idempotent && is_idempotent_only(b, now_us))
		return false;
	b->trial_running = true;
	b->trial_started_us = now_us;
	return true;
}

void bb_breaker_trial_dropped(struct bb_breaker *b, int64_t admitted_us)
{
	if (b->reported && b->trial_started_us == admitted_us)
		b->trial_running = false;
}

void bb_breaker_succeeded(struct bb_breaker *b, int64_t started_us)
{
	if (b->failures && started_us < b->last_failure_us)
		return;
	if (b->failures)
		b->former_failures = b->failures;
	b->failures = 0;
	b->trial_running = false;
}

void bb_breaker_failed(struct bb_breaker *b, int64_t started_us, int64_t now_us)
{
	int64_t max_us = b->reported ? REPORTED_OPEN_MAX_US : OPEN_MAX_US;
	int64_t open_us = OPEN_MIN_US;

	/* Sent before the open time ended: already counted as one failure. */
	if (b->failures && !b->trial_running && started_us < b->open_until_us)
		return;
	if (b->reported && !b->failures && b->former_failures &&
	    now_us - b->last_failure_us < SAME_PERIOD_US)
		b->failures = b->former_failures - 1;
	for (uint32_t i = 0; i < b->failures && open_us < max_us; i++)
		open_us *= 2;
	b->open_until_us = now_us + (open_us < max_us ? open_us : max_us);
	b->failures++;
	b->last_failure_us = now_us;
	b->trial_running = false;
}

int64_t bb_breaker_open_us(const struct bb_breaker *b, int64_t now_us)
{
	int64_t trial_us;

	if (!b->failures)
		return 0;
	if (now_us < b->open_until_us)
		return b->open_until_us - now_us;
	if (!b->reported || !trial_is_running(b, now_us))
		return 0;
	trial_us = b->trial_started_us + TRIAL_TIMEOUT_US - now_us;
	return trial_us < TRIAL_HINT_US ? trial_us : TRIAL_HINT_US;
}

bool bb_breaker_takes_trials(const struct bb_breaker *b, int64_t now_us)
{
	return b->failures && now_us >= b->open_until_us &&
	       is_idempotent_only(b, now_us);
}
